#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace guavaspan {

/// One complete event of a stream, with its bytes as they were sent.
struct EventFrame {
    std::string bytes;
    /// Value of the event's id line; empty if it has none.
    std::string id;
    /// False for comments, and for the blank lines between events.
    bool hasData = false;

    friend bool operator==(const EventFrame&, const EventFrame&) = default;
};

/// Splits a byte stream into complete events without changing their bytes.
class EventFrameParser {
public:
    /// Size limit of an event that is not complete.
    static constexpr std::size_t maxFrameBytes = 1 << 20;

    void feed(std::string_view bytes);
    std::optional<EventFrame> next();

    /// True if the current event has become too large.
    bool exceedsLimit() const { return m_partial.size() > maxFrameBytes; }

    /// True if bytes up to a blank line were no event and no comment; they are not returned.
    bool isMalformed() const { return m_malformed; }

    /// True while the bytes of an incomplete event are buffered.
    bool hasPartialFrame() const { return !m_partial.empty(); }
    std::size_t partialBytes() const { return m_partial.size(); }

private:
    void parseLine(std::string_view line);

    std::string m_partial;
    std::size_t m_lineStart = 0;
    std::string m_id;
    bool m_hasData = false;
    bool m_hasField = false;
    bool m_malformed = false;
    std::deque<EventFrame> m_completeFrames;
};

}
