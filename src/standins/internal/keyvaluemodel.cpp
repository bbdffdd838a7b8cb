#include "standins/keyvaluemodel.h"

namespace guavaspan::standins {

void KeyValueModel::expire(TimePoint now)
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.endsAt > now) {
            ++lease;
            continue;
        }
        auto removed = std::erase_if(m_entries, [&](const auto& entry) { return entry.second.lease == lease->first; });
        if (removed > 0)
            ++m_revision;
        lease = m_leases.erase(lease);
    }
}

std::vector<KeyValueEntry> KeyValueModel::range(const std::string& key, const std::string& rangeEnd, TimePoint now)
{
    expire(now);
    std::vector<KeyValueEntry> entries;
    auto position = m_entries.lower_bound(key);
    for (; position != m_entries.end(); ++position) {
        bool wanted = rangeEnd.empty() ? position->first == key : position->first < rangeEnd;
        if (!wanted)
            break;
        entries.push_back({ .key = position->first, .value = position->second.value, .version = position->second.version });
    }
    return entries;
}

SwapResult KeyValueModel::swap(const SwapOptions& options, TimePoint now)
{
    expire(now);
    auto found = m_entries.find(options.key);
    auto version = found == m_entries.end() ? absentVersion : found->second.version;
    if (version != options.expectedVersion)
        return { .swapped = false, .version = version };
    if (options.lease != noLease && !m_leases.contains(options.lease))
        return { .swapped = false, .version = version };
    ++m_revision;
    m_entries[options.key] = { .value = options.value, .version = m_revision, .lease = options.lease };
    return { .swapped = true, .version = m_revision };
}

LeaseId KeyValueModel::grantLease(Seconds timeToLive, TimePoint now)
{
    auto id = ++m_lastLease;
    m_leases[id] = { .timeToLive = timeToLive, .endsAt = now + timeToLive };
    return id;
}

bool KeyValueModel::keepAlive(LeaseId id, TimePoint now)
{
    expire(now);
    auto found = m_leases.find(id);
    if (found == m_leases.end())
        return false;
    found->second.endsAt = now + found->second.timeToLive;
    return true;
}

Seconds KeyValueModel::timeToLive(LeaseId id) const
{
    auto found = m_leases.find(id);
    return found == m_leases.end() ? Seconds(0) : found->second.timeToLive;
}

RateLimit::RateLimit(int perSecond)
    : m_perSecond(perSecond)
{
}

bool RateLimit::admit(TimePoint now)
{
    if (now - m_windowStart >= Seconds(1)) {
        m_windowStart = now;
        m_count = 0;
    }
    if (m_perSecond > 0 && m_count >= m_perSecond)
        return false;
    ++m_count;
    return true;
}

}
