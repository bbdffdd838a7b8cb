#include "common/logqueue.h"

#include <algorithm>

namespace guavaspan {

bool LogQueue::admit(std::string_view event, TimePoint now)
{
    auto found = m_buckets.find(event);
    if (found == m_buckets.end())
        found = m_buckets.emplace(std::string(event), Bucket { .lines = m_options.linesPerSecond, .filledAt = now }).first;
    auto& bucket = found->second;
    bucket.lines = std::min(m_options.linesPerSecond, bucket.lines + secondsBetween(bucket.filledAt, now) * m_options.linesPerSecond);
    bucket.filledAt = now;
    if (bucket.lines < 1) {
        ++m_dropped;
        return false;
    }
    bucket.lines -= 1;
    return true;
}

void LogQueue::push(std::string line)
{
    if (m_queuedBytes + line.size() > m_options.maxQueuedBytes) {
        ++m_dropped;
        return;
    }
    m_queuedBytes += line.size();
    m_lines.push_back(std::move(line));
}

void LogQueue::flush(const Writer& write)
{
    while (!m_lines.empty()) {
        const auto& line = m_lines.front();
        auto taken = write(std::string_view(line).substr(m_written));
        if (taken == 0)
            return;
        m_written += taken;
        m_queuedBytes -= taken;
        if (m_written < line.size())
            continue;
        m_lines.pop_front();
        m_written = 0;
    }
}

std::uint64_t LogQueue::takeDropped()
{
    auto fresh = m_dropped - m_reported;
    m_reported = m_dropped;
    return fresh;
}

}
