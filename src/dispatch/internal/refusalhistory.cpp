#include "dispatch/refusalhistory.h"

namespace guavaspan {

namespace {

    /// Callers come back within a third of the time that they have left.
    constexpr auto retentionTime = Seconds(15);
    constexpr std::size_t maxRefusals = 20000;

}

void RefusalHistory::evictOld(TimePoint now)
{
    while (!m_evictionQueue.empty() && (m_evictionQueue.front().first + retentionTime < now || m_evictionQueue.size() > maxRefusals)) {
        auto found = m_refusals.find(m_evictionQueue.front().second);
        if (found != m_refusals.end() && found->second.refusedAt == m_evictionQueue.front().first)
            m_refusals.erase(found);
        m_evictionQueue.pop_front();
    }
}

void RefusalHistory::onRefused(ContentHash content, TimePoint firstAttemptAt, TimePoint now)
{
    evictOld(now);
    m_refusals.insert_or_assign(content, Refusal { .firstAttemptAt = firstAttemptAt, .refusedAt = now });
    m_evictionQueue.emplace_back(now, content);
}

std::optional<TimePoint> RefusalHistory::firstAttempt(ContentHash content, TimePoint now)
{
    evictOld(now);
    auto found = m_refusals.find(content);
    if (found == m_refusals.end())
        return std::nullopt;
    return found->second.firstAttemptAt;
}

}
