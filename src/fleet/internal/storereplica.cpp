#include "fleet/storereplica.h"

#include <algorithm>
#include <set>
#include <utility>

namespace guavaspan {

namespace {

    /// Removals kept for followers: several seconds of removals in a busy fleet.
    constexpr std::size_t maxRemovals = 500;

    /// Longest time after which the store still executes a write that it has not answered.
    constexpr auto maxWriteDelay = Seconds(10);

}

void StoreReplica::confirm(BootTime asOf)
{
    m_confirmedAt = std::max(m_confirmedAt, asOf);
}

/// Numbers of an earlier era cannot be compared with those of this one, so each entry of the new era replaces the one held,
/// unless the values themselves tell that it is older.
void StoreReplica::beginEra(StoreRevision revision)
{
    ++m_restorations;
    if (m_restoreListener)
        m_restoreListener({ .from = m_revision, .to = revision });
    for (auto& [key, entry] : m_entries) {
        entry.revision = 0;
        entry.newsRevision = 0;
    }
}

/// Returns true if the entry of a copy from which the store came back is older than the one that this replica has or has seen removed.
/// That one then stands for the copied entry until it is written again.
bool StoreReplica::keepNewerThan(const StoreChange& copied)
{
    if (!m_entryOrder)
        return false;
    auto held = m_entries.find(copied.key);
    if (held != m_entries.end()) {
        bool older = m_entryOrder(copied.key, *copied.value, held->second.value) == std::strong_ordering::less;
        if (older)
            held->second.revision = copied.revision;
        return older;
    }
    auto removed = m_removedEntries.find(copied.key);
    if (removed == m_removedEntries.end())
        return false;
    auto order = m_entryOrder(copied.key, *copied.value, removed->second.value);
    return order && *order != std::strong_ordering::greater;
}

void StoreReplica::rememberRemoved(const std::string& key, std::string value, BootTime asOf)
{
    std::erase_if(m_removedEntries, [&](const auto& entry) { return entry.second.removedAt + maxStoreCopyAge < asOf; });
    m_removedEntries.insert_or_assign(key, RemovedEntry { .value = std::move(value), .removedAt = asOf });
}

/// The store may execute a write that it has not answered after later ones, and after the removal of the entry.
bool StoreReplica::isLateWrite(const StoreChange& written, BootTime asOf) const
{
    if (!m_entryOrder)
        return false;
    auto isOlderThan = [&](const std::string& value) { return m_entryOrder(written.key, *written.value, value) == std::strong_ordering::less; };
    auto held = m_entries.find(written.key);
    if (held != m_entries.end())
        return asOf < held->second.writtenAt + maxWriteDelay && isOlderThan(held->second.value);
    auto removed = m_removedEntries.find(written.key);
    return removed != m_removedEntries.end() && asOf < removed->second.removedAt + maxWriteDelay && isOlderThan(removed->second.value);
}

void StoreReplica::apply(const StoreChange& change, BootTime asOf)
{
    if (m_keyFilter && !m_keyFilter(change.key))
        return;
    auto existing = m_entries.find(change.key);
    if (existing != m_entries.end() && existing->second.revision > change.revision)
        ++m_olderEntries;
    if (change.value)
        applyWrite(change, asOf);
    else
        applyRemoval(change, asOf);
}

void StoreReplica::applyWrite(const StoreChange& change, BootTime asOf)
{
    auto existing = m_entries.find(change.key);
    if (existing != m_entries.end() && existing->second.revision >= change.revision)
        return;
    if (isLateWrite(change, asOf)) {
        ++m_olderEntries;
        if (existing != m_entries.end())
            existing->second.revision = change.revision;
        if (m_outdatedEntryListener)
            m_outdatedEntryListener(change.key);
        return;
    }
    bool news = existing == m_entries.end() || isNews(existing->second, change);
    auto newsRevision = news ? change.revision : existing->second.newsRevision;
    m_entries.insert_or_assign(change.key, Entry { .value = *change.value, .revision = change.revision, .newsRevision = newsRevision, .writtenAt = asOf });
    m_removedEntries.erase(change.key);
    m_hasNews = m_hasNews || news;
    if (m_listener)
        m_listener(change.key, change.value);
}

void StoreReplica::applyRemoval(const StoreChange& change, BootTime asOf)
{
    // A follower may still have an entry that this replica never had.
    rememberRemoval(change.key, change.revision);
    m_hasNews = true;
    auto existing = m_entries.find(change.key);
    if (existing == m_entries.end() || existing->second.revision >= change.revision)
        return;
    auto lastValue = std::move(existing->second.value);
    // A follower lacks the heartbeats that its source has.
    if (change.lastValue && m_entryOrder && m_entryOrder(change.key, *change.lastValue, lastValue) == std::strong_ordering::greater)
        lastValue = *change.lastValue;
    rememberRemoved(change.key, std::move(lastValue), asOf);
    m_entries.erase(existing);
    if (m_listener)
        m_listener(change.key, std::nullopt);
}

/// True if values of the key tell in which order they were written.
bool StoreReplica::isOrdered(const std::string& key, const std::string& value) const
{
    return m_entryOrder && m_entryOrder(key, value, value).has_value();
}

bool StoreReplica::isNews(const Entry& existing, const StoreChange& change) const
{
    return !m_changeFilter || m_changeFilter(change.key, existing.value, *change.value);
}

void StoreReplica::announceNews()
{
    if (std::exchange(m_hasNews, false) && m_newsListener)
        m_newsListener();
}

void StoreReplica::rememberRemoval(const std::string& key, std::int64_t revision)
{
    m_removals.push_back({ .key = key, .revision = revision });
    while (m_removals.size() > maxRemovals) {
        m_historyStart = m_removals.front().revision;
        m_removals.pop_front();
    }
}

/// A listing does not show which entries were written and removed again since the revision held. A follower that is at a revision
/// in between may have them.
void StoreReplica::beginGap(std::int64_t listedRevision)
{
    m_historyStart = std::max(m_historyStart, m_gap.end);
    m_gap = { .begin = m_revision.number, .end = listedRevision };
}

void StoreReplica::applyListing(const StoreListing& listing, BootTime asOf)
{
    // An older listing, such as from a peer that lags, would revert changes.
    if (m_loaded && listing.revision < m_revision)
        return;
    bool restored = m_loaded && listing.revision.era > m_revision.era;
    if (restored)
        beginEra(listing.revision);
    bool continues = m_loaded && !restored;
    if (continues)
        beginGap(listing.revision.number);
    std::set<std::string> listedKeys;
    for (const auto& entry : listing.entries)
        listedKeys.insert(entry.key);
    std::vector<std::string> removedKeys;
    for (const auto& [key, entry] : m_entries) {
        if (listedKeys.count(key) == 0 && entry.revision <= listing.revision.number)
            removedKeys.push_back(key);
    }
    for (const auto& key : removedKeys)
        apply({ .key = key, .revision = listing.revision.number }, asOf);
    for (const auto& entry : listing.entries) {
        StoreChange change { .key = entry.key, .value = entry.value, .revision = entry.version };
        if (restored && keepNewerThan(change))
            ++m_olderEntries;
        else
            apply(change, asOf);
    }
    m_revision = listing.revision;
    if (!continues) {
        m_removals.clear();
        m_historyStart = m_revision.number;
        m_gap = {};
    }
    m_loaded = true;
    confirm(asOf);
    announceNews();
}

void StoreReplica::applyChanges(const StoreChanges& changes, BootTime asOf)
{
    // Ignores a response that was overtaken by a newer one from another source. A new era begins with a listing.
    if (!m_loaded || changes.historyLost || changes.revision < m_revision || changes.revision.era != m_revision.era)
        return;
    auto previousRevision = m_revision.number;
    for (const auto& change : changes.changes) {
        if (change.revision > previousRevision)
            apply(change, asOf);
    }
    m_revision = changes.revision;
    confirm(asOf);
    announceNews();
}

bool StoreReplica::adoptNewer(const std::string& key, const std::string& value)
{
    auto held = m_entries.find(key);
    if (held == m_entries.end() || !m_entryOrder || m_entryOrder(key, value, held->second.value) != std::strong_ordering::greater)
        return false;
    held->second.value = value;
    if (m_listener)
        m_listener(key, value);
    return true;
}

StoreListing StoreReplica::listing(BootTime now, std::string_view prefix) const
{
    StoreListing listing { .revision = m_revision, .age = age(now) };
    for (auto position = m_entries.lower_bound(std::string(prefix)); position != m_entries.end() && position->first.starts_with(prefix); ++position)
        listing.entries.push_back({ .key = position->first, .value = position->second.value, .version = position->second.revision });
    return listing;
}

StoreChanges StoreReplica::changesAfter(StoreRevision revision, BootTime now) const
{
    StoreChanges result { .revision = m_revision, .age = age(now) };
    bool inGap = revision.number > m_gap.begin && revision.number < m_gap.end;
    // A follower that is ahead gets no changes, and this older replica cannot confirm that its entries are current.
    if (!m_loaded || revision.era != m_revision.era || revision.number < m_historyStart || inGap || revision > m_revision) {
        result.historyLost = true;
        return result;
    }
    // Only the latest change of each key, since followers of a configuration that changes often would not keep up with all of them.
    for (const auto& [key, entry] : m_entries) {
        if (entry.newsRevision > revision.number)
            result.changes.push_back({ .key = key, .value = entry.value, .revision = entry.revision });
    }
    for (const auto& removal : m_removals) {
        if (removal.revision <= revision.number)
            continue;
        auto& change = result.changes.emplace_back(removal);
        auto removed = m_removedEntries.find(removal.key);
        if (removed != m_removedEntries.end() && isOrdered(removal.key, removed->second.value))
            change.lastValue = removed->second.value;
    }
    std::stable_sort(result.changes.begin(), result.changes.end(), [](const StoreChange& left, const StoreChange& right) { return left.revision < right.revision; });
    return result;
}

}
