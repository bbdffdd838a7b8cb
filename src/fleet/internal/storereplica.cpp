#include "fleet/storereplica.h"

#include <algorithm>
#include <set>

namespace guavaspan {

namespace {

    /// Changes kept for followers: some seconds of a busy fleet.
    constexpr std::size_t historyLimit = 500;

}

void StoreReplica::confirm(BootTime asOf)
{
    m_confirmedAt = std::max(m_confirmedAt, asOf);
}

void StoreReplica::apply(const StoreChange& change)
{
    if (m_relevant && !m_relevant(change.key))
        return;
    auto known = m_entries.find(change.key);
    if (change.value) {
        if (known != m_entries.end() && known->second.revision >= change.revision)
            return;
        m_entries.insert_or_assign(change.key, Entry { .value = *change.value, .revision = change.revision });
    } else {
        if (known == m_entries.end() || known->second.revision >= change.revision)
            return;
        m_entries.erase(known);
    }
    m_history.push_back(change);
    while (m_history.size() > historyLimit) {
        m_historyStart = m_history.front().revision;
        m_history.pop_front();
    }
    if (m_listener)
        m_listener(change.key, change.value);
}

void StoreReplica::applyListing(const StoreListing& listing, BootTime asOf)
{
    // A listing of an older revision than what is held, as from a peer that lags, would take back changes.
    if (m_loaded && listing.revision < m_revision)
        return;
    std::set<std::string> listed;
    for (const auto& entry : listing.entries)
        listed.insert(entry.key);
    std::vector<std::string> missing;
    for (const auto& [key, entry] : m_entries) {
        if (listed.count(key) == 0 && entry.revision <= listing.revision)
            missing.push_back(key);
    }
    // What changed while the history was lost is not known in order, so followers list anew.
    m_history.clear();
    for (const auto& key : missing)
        apply({ .key = key, .revision = listing.revision });
    for (const auto& entry : listing.entries)
        apply({ .key = entry.key, .value = entry.value, .revision = entry.version });
    m_history.clear();
    m_revision = listing.revision;
    m_historyStart = m_revision;
    m_loaded = true;
    confirm(asOf);
}

void StoreReplica::applyChanges(const StoreChanges& changes, BootTime asOf)
{
    // An answer that was under way while a newer one came from elsewhere tells nothing new.
    if (!m_loaded || changes.historyLost || changes.revision < m_revision)
        return;
    auto known = m_revision;
    for (const auto& change : changes.changes) {
        if (change.revision > known)
            apply(change);
    }
    m_revision = changes.revision;
    confirm(asOf);
}

StoreListing StoreReplica::listing(BootTime now) const
{
    StoreListing listing { .revision = m_revision, .age = age(now) };
    listing.entries.reserve(m_entries.size());
    for (const auto& [key, entry] : m_entries)
        listing.entries.push_back({ .key = key, .value = entry.value, .version = entry.revision });
    return listing;
}

StoreChanges StoreReplica::changesAfter(std::int64_t revision, BootTime now) const
{
    StoreChanges answer { .revision = m_revision, .age = age(now) };
    if (revision < m_historyStart || !m_loaded) {
        answer.historyLost = true;
        return answer;
    }
    // A follower that is ahead learns nothing here, and its knowledge is not confirmed by an older copy.
    if (revision > m_revision) {
        answer.historyLost = true;
        return answer;
    }
    std::copy_if(m_history.begin(), m_history.end(), std::back_inserter(answer.changes), [&](const StoreChange& change) { return change.revision > revision; });
    return answer;
}

}
