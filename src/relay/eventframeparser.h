#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace guavaspan {

/// One complete event of a stream, byte by byte as it was sent.
struct EventFrame {
    std::string bytes;
    /// Value of the event's id line; empty if it has none.
    std::string id;

    friend bool operator==(const EventFrame&, const EventFrame&) = default;
};

/// Cuts a byte stream into whole events without changing a byte.
class EventFrameParser {
public:
    void feed(std::string_view bytes);
    std::optional<EventFrame> next();

    /// Bytes of an event that is not complete.
    bool hasPartialFrame() const { return !m_partial.empty(); }

private:
    void parseLine(std::string_view line);

    std::string m_partial;
    std::size_t m_lineStart = 0;
    std::string m_id;
    std::deque<EventFrame> m_completeFrames;
};

}
