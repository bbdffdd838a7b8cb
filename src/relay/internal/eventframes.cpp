#include "relay/eventframes.h"

namespace guavaspan {

void EventFrames::takeLine(std::string_view line)
{
    constexpr std::string_view idField = "id:";
    if (!line.starts_with(idField))
        return;
    line.remove_prefix(idField.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    m_id = std::string(line);
}

void EventFrames::feed(std::string_view bytes)
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
            takeLine(line);
            m_lineStart = m_partial.size();
            continue;
        }
        m_ready.push_back({ .bytes = std::move(m_partial), .id = std::move(m_id) });
        m_partial.clear();
        m_id.clear();
        m_lineStart = 0;
    }
}

std::optional<EventFrame> EventFrames::next()
{
    if (m_ready.empty())
        return std::nullopt;
    auto frame = std::move(m_ready.front());
    m_ready.pop_front();
    return frame;
}

}
