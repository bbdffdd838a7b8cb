#include "fleet/storereplica.h"

#include <algorithm>
#include <set>

namespace guavaspan {

namespace {

    /// Changes kept for followers: a few seconds of changes in a busy fleet.
    constexpr std::size_t maxHistoryLength = 500;

}

void StoreReplica::confirm(BootTime asOf)
{
    m_confirmedAt = std::max(m_confirmedAt, asOf);
}

void StoreReplica::apply(const StoreChange& change)
{
    if (m_keyFilter && !m_keyFilter(change.key))
        return;
    auto existing = m_entries.find(change.key);
    if (existing != m_entries.end() && existing->second.revision > change.revision)
        ++m_olderEntries;
    if (change.value) {
        if (existing != m_entries.end() && existing->second.revision >= change.revision)
            return;
        m_entries.insert_or_assign(change.key, Entry { .value = *change.value, .revision = change.revision });
    } else {
        if (existing == m_entries.end() || existing->second.revision >= change.revision)
            return;
        m_entries.erase(existing);
    }
    m_history.push_back(change);
    while (m_history.size() > maxHistoryLength) {
        m_historyStart = m_history.front().revision;
        m_history.pop_front();
    }
    if (m_listener)
        m_listener(change.key, change.value);
}

void StoreReplica::applyListing(const StoreListing& listing, BootTime asOf)
{
    // An older listing, such as from a peer that lags, would revert changes.
    if (m_loaded && listing.revision < m_revision)
        return;
    std::set<std::string> listedKeys;
    for (const auto& entry : listing.entries)
        listedKeys.insert(entry.key);
    std::vector<std::string> removedKeys;
    for (const auto& [key, entry] : m_entries) {
        if (listedKeys.count(key) == 0 && entry.revision <= listing.revision)
            removedKeys.push_back(key);
    }
    // A listing does not show the individual changes since the previous revision or their order, so followers
    // must list again.
    m_history.clear();
    for (const auto& key : removedKeys)
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
    // Ignores a response that was overtaken by a newer one from another source.
    if (!m_loaded || changes.historyLost || changes.revision < m_revision)
        return;
    auto previousRevision = m_revision;
    for (const auto& change : changes.changes) {
        if (change.revision > previousRevision)
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
    StoreChanges result { .revision = m_revision, .age = age(now) };
    if (revision < m_historyStart || !m_loaded) {
        result.historyLost = true;
        return result;
    }
    // A follower that is ahead gets no changes, and this older replica cannot confirm that its entries are current.
    if (revision > m_revision) {
        result.historyLost = true;
        return result;
    }
    std::copy_if(m_history.begin(), m_history.end(), std::back_inserter(result.changes), [&](const StoreChange& change) { return change.revision > revision; });
    return result;
}

}
