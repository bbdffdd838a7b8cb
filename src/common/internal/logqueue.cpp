#include "common/logqueue.h"

#include <algorithm>

namespace guavaspan {

bool LogQueue::admit(std::string_view event, TimePoint now)
{
    auto found = m_buckets.find(event);
    if (found == m_buckets.end())
        found = m_buckets.emplace(std::string(event), Bucket { .availableLines = m_options.linesPerSecond, .refilledAt = now }).first;
    auto& bucket = found->second;
    bucket.availableLines = std::min(m_options.linesPerSecond, bucket.availableLines + secondsBetween(bucket.refilledAt, now) * m_options.linesPerSecond);
    bucket.refilledAt = now;
    if (bucket.availableLines < 1) {
        ++m_droppedLines;
        return false;
    }
    bucket.availableLines -= 1;
    return true;
}

void LogQueue::push(std::string line)
{
    if (m_queuedBytes + line.size() > m_options.maxQueuedBytes) {
        ++m_droppedLines;
        return;
    }
    m_queuedBytes += line.size();
    m_lines.push_back(std::move(line));
}

void LogQueue::flush(const Writer& write)
{
    while (!m_lines.empty()) {
        const auto& line = m_lines.front();
        auto written = write(std::string_view(line).substr(m_firstLineWrittenBytes));
        if (written == 0)
            return;
        m_firstLineWrittenBytes += written;
        m_queuedBytes -= written;
        if (m_firstLineWrittenBytes < line.size())
            continue;
        m_lines.pop_front();
        m_firstLineWrittenBytes = 0;
    }
}

std::uint64_t LogQueue::takeDropped()
{
    auto newlyDropped = m_droppedLines - m_reportedDroppedLines;
    m_reportedDroppedLines = m_droppedLines;
    return newlyDropped;
}

}
