#include "relay/eventframeparser.h"

#include <algorithm>
#include <array>
#include <utility>

namespace guavaspan {

namespace {

    constexpr std::array<std::string_view, 4> knownFields { "data", "id", "event", "retry" };

}

void EventFrameParser::parseLine(std::string_view line)
{
    constexpr std::string_view idField = "id:";
    constexpr std::string_view dataField = "data";
    auto field = line.substr(0, line.find(':'));
    m_hasData = m_hasData || field == dataField;
    bool isComment = line.starts_with(':');
    m_hasField = m_hasField || isComment || std::find(knownFields.begin(), knownFields.end(), field) != knownFields.end();
    if (!line.starts_with(idField))
        return;
    line.remove_prefix(idField.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    m_id = std::string(line);
}

void EventFrameParser::feed(std::string_view bytes)
{
    for (char byte : bytes) {
        m_partial += byte;
        if (byte != '\n')
            continue;
        std::string_view line(m_partial.data() + m_lineStart, m_partial.size() - m_lineStart - 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        bool endsEvent = line.empty();
        if (!endsEvent) {
            parseLine(line);
            m_lineStart = m_partial.size();
            continue;
        }
        bool hasLines = m_lineStart > 0;
        if (hasLines && !std::exchange(m_hasField, false)) {
            m_malformed = true;
            return;
        }
        m_completeFrames.push_back({ .bytes = std::move(m_partial), .id = std::move(m_id), .hasData = std::exchange(m_hasData, false) });
        m_partial.clear();
        m_id.clear();
        m_lineStart = 0;
    }
}

std::optional<EventFrame> EventFrameParser::next()
{
    if (m_completeFrames.empty())
        return std::nullopt;
    auto frame = std::move(m_completeFrames.front());
    m_completeFrames.pop_front();
    return frame;
}

}
