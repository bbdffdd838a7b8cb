#include "dispatch/refusalmemory.h"

namespace guavaspan {

namespace {

    /// Callers come back within a third of the time that they have left.
    constexpr auto memoryTime = Seconds(15);
    constexpr std::size_t mostRefusals = 20000;

}

void RefusalMemory::forgetOld(TimePoint now)
{
    while (!m_order.empty() && (m_order.front().first + memoryTime < now || m_order.size() > mostRefusals)) {
        auto found = m_refusals.find(m_order.front().second);
        if (found != m_refusals.end() && found->second.refusedAt == m_order.front().first)
            m_refusals.erase(found);
        m_order.pop_front();
    }
}

void RefusalMemory::onRefused(ContentHash content, TimePoint firstAskedAt, TimePoint now)
{
    forgetOld(now);
    m_refusals.insert_or_assign(content, Refusal { .firstAskedAt = firstAskedAt, .refusedAt = now });
    m_order.emplace_back(now, content);
}

std::optional<TimePoint> RefusalMemory::firstAsked(ContentHash content, TimePoint now)
{
    forgetOld(now);
    auto found = m_refusals.find(content);
    if (found == m_refusals.end())
        return std::nullopt;
    return found->second.firstAskedAt;
}

}
