#include "quarantine/quarantine.h"

#include "common/hash.h"

#include <algorithm>

namespace guavaspan {

Fingerprint fingerprintOf(const std::string& organisation, const std::string& resource, const std::string& body)
{
    return stableHash(body, stableHash(resource, stableHash(organisation)));
}

Quarantine::Quarantine(QuarantineOptions options)
    : m_options(options)
{
}

bool Quarantine::onCrash(const CrashReport& report, TimePoint now)
{
    removeExpired(now);
    auto incarnationKey = report.target + "/" + report.incarnation;
    auto& record = m_records[report.fingerprint];
    if (!record.crashedIncarnations.insert(incarnationKey).second)
        return false;
    record.lastCrash = now;
    m_fingerprintsByIncarnation[incarnationKey].insert(report.fingerprint);
    return true;
}

bool Quarantine::onCompleted(Fingerprint fingerprint, TimePoint)
{
    return m_records.erase(fingerprint) > 0;
}

bool Quarantine::convict(Fingerprint fingerprint, TimePoint now)
{
    return m_convictedUntil.insert_or_assign(fingerprint, now + m_options.convictionDuration).second;
}

bool Quarantine::pardon(Fingerprint fingerprint)
{
    bool convicted = m_convictedUntil.erase(fingerprint) > 0;
    return m_records.erase(fingerprint) > 0 || convicted;
}

/// True if another request that reached the crash threshold was running on the same incarnation
/// when it crashed, since then either request may have caused the crash.
bool Quarantine::mayHaveOtherCause(const std::string& incarnationKey, Fingerprint fingerprint) const
{
    auto found = m_fingerprintsByIncarnation.find(incarnationKey);
    if (found == m_fingerprintsByIncarnation.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](Fingerprint other) {
        auto record = m_records.find(other);
        return other != fingerprint && record != m_records.end() && record->second.crashedIncarnations.size() >= static_cast<std::size_t>(m_options.crashThreshold);
    });
}

Standing Quarantine::standing(Fingerprint fingerprint, TimePoint now) const
{
    auto convicted = m_convictedUntil.find(fingerprint);
    if (convicted != m_convictedUntil.end() && convicted->second > now)
        return Standing::Convicted;
    auto found = m_records.find(fingerprint);
    if (found == m_records.end())
        return Standing::Clear;
    const auto& record = found->second;
    bool reachedThreshold = record.crashedIncarnations.size() >= static_cast<std::size_t>(m_options.crashThreshold);
    auto lifetime = reachedThreshold ? m_options.convictionDuration : m_options.suspicionDuration;
    if (record.lastCrash + lifetime <= now)
        return Standing::Clear;
    if (!reachedThreshold)
        return Standing::Suspect;
    // A crash is explained if another request that reached the threshold was also running on that incarnation.
    auto unexplainedCrashes = std::count_if(record.crashedIncarnations.begin(), record.crashedIncarnations.end(), [&](const std::string& incarnationKey) { return !mayHaveOtherCause(incarnationKey, fingerprint); });
    return unexplainedCrashes >= 1 ? Standing::Convicted : Standing::Suspect;
}

std::vector<QuarantineEntry> Quarantine::entries(TimePoint now) const
{
    std::vector<QuarantineEntry> entries;
    for (const auto& [fingerprint, record] : m_records) {
        auto state = standing(fingerprint, now);
        if (state != Standing::Clear)
            entries.push_back({ .fingerprint = fingerprint, .standing = state, .deaths = record.crashedIncarnations.size() });
    }
    for (const auto& [fingerprint, until] : m_convictedUntil) {
        if (until > now && !m_records.contains(fingerprint))
            entries.push_back({ .fingerprint = fingerprint, .standing = Standing::Convicted });
    }
    return entries;
}

void Quarantine::removeExpired(TimePoint now)
{
    std::erase_if(m_convictedUntil, [&](const auto& entry) { return entry.second <= now; });
    std::erase_if(m_records, [&](const auto& entry) { return entry.second.lastCrash + m_options.convictionDuration <= now; });
    if (m_records.size() >= m_options.maxRecords) {
        auto oldest = std::min_element(m_records.begin(), m_records.end(), [](const auto& a, const auto& b) { return a.second.lastCrash < b.second.lastCrash; });
        m_records.erase(oldest);
    }
    std::erase_if(m_fingerprintsByIncarnation, [&](const auto& entry) {
        return std::none_of(entry.second.begin(), entry.second.end(), [&](Fingerprint fingerprint) { return m_records.contains(fingerprint); });
    });
}

}
