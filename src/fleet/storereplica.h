#pragma once

#include "keyvalue/iwatchablestore.h"

#include <compare>
#include <deque>
#include <functional>
#include <map>
#include <string_view>

namespace guavaspan {

/// Event: the store came back from a copy and lost later changes.
struct StoreRestored {
    StoreRevision from;
    StoreRevision to;

    friend bool operator==(const StoreRestored&, const StoreRestored&) = default;
};

/// This instance's copy of the shared store's entries, with the time at which it was last
/// confirmed to be current. It never goes back to an older revision, nor to an older entry if the store comes back from a copy or
/// executes a write late.
class StoreReplica {
public:
    /// Called for each changed entry; without a value the entry was removed.
    using Listener = std::function<void(const std::string& key, const std::optional<std::string>& value)>;

    void setChangeListener(Listener listener) { m_listener = std::move(listener); }

    using RestoreListener = std::function<void(const StoreRestored&)>;
    /// Called before the entries of a new era are applied.
    void setRestoreListener(RestoreListener listener) { m_restoreListener = std::move(listener); }

    /// Compares two values of a key by the order in which they were written, if the values tell it.
    using EntryOrder = std::function<std::optional<std::strong_ordering>(const std::string& key, const std::string& left, const std::string& right)>;
    void setEntryOrder(EntryOrder order) { m_entryOrder = std::move(order); }

    /// Called for each entry that was ignored because its key has, or had until lately, one that was written later.
    void setOutdatedEntryListener(std::function<void(const std::string& key)> listener) { m_outdatedEntryListener = std::move(listener); }

    /// Tells whether a new value of a key differs from the old one in more than what shows that its writer is alive. Followers get
    /// only such changes.
    using ChangeFilter = std::function<bool(const std::string& key, const std::string& oldValue, const std::string& newValue)>;
    void setChangeFilter(ChangeFilter filter) { m_changeFilter = std::move(filter); }

    /// Called once after changes for followers were applied.
    void setNewsListener(std::function<void()> listener) { m_newsListener = std::move(listener); }

    /// Entries whose key the filter rejects are neither stored nor passed on to the listener and to followers.
    void setKeyFilter(std::function<bool(const std::string& key)> keyFilter) { m_keyFilter = std::move(keyFilter); }

    /// `asOf` is a time at which the data was certainly current.
    void applyListing(const StoreListing&, BootTime asOf);
    void applyChanges(const StoreChanges&, BootTime asOf);

    /// Takes a value that was written after the one held, and that the store has lost. Returns false if it is not newer.
    bool adoptNewer(const std::string& key, const std::string& value);

    bool loaded() const { return m_loaded; }
    StoreRevision revision() const { return m_revision; }
    /// Offered entries that were not applied because the replica had a newer one of their key.
    std::uint64_t olderEntries() const { return m_olderEntries; }
    BootTime confirmedAt() const { return m_confirmedAt; }
    Clock::duration age(BootTime now) const { return now - m_confirmedAt; }

    /// How often the store came back from a copy.
    int restorations() const { return m_restorations; }

    /// The entries with the prefix, for a peer that follows this replica.
    StoreListing listing(BootTime now, std::string_view prefix = {}) const;

    /// The latest change of each key that changed after a revision; sets `historyLost` if the follower must list all entries again.
    StoreChanges changesAfter(StoreRevision revision, BootTime now) const;

private:
    struct Entry {
        std::string value;
        /// Number within the era of the replica.
        std::int64_t revision = 0;
        /// The last revision that followers get.
        std::int64_t newsRevision = 0;
        BootTime writtenAt;
    };
    struct RemovedEntry {
        std::string value;
        BootTime removedAt;
    };

    /// Revisions between `begin` and `end`, whose changes this replica did not see one by one.
    struct Gap {
        std::int64_t begin = 0;
        std::int64_t end = 0;
    };

    void beginEra(StoreRevision);
    void beginGap(std::int64_t listedRevision);
    bool keepNewerThan(const StoreChange& copied);
    bool isLateWrite(const StoreChange& written, BootTime asOf) const;
    void apply(const StoreChange&, BootTime asOf);
    void applyWrite(const StoreChange&, BootTime asOf);
    void applyRemoval(const StoreChange&, BootTime asOf);
    bool isOrdered(const std::string& key, const std::string& value) const;
    bool isNews(const Entry& existing, const StoreChange&) const;
    void announceNews();
    void rememberRemoval(const std::string& key, std::int64_t revision);
    void rememberRemoved(const std::string& key, std::string value, BootTime asOf);
    void confirm(BootTime);

    bool m_loaded = false;
    StoreRevision m_revision;
    std::uint64_t m_olderEntries = 0;
    int m_restorations = 0;
    BootTime m_confirmedAt;
    std::map<std::string, Entry> m_entries;
    /// Entries that were removed lately, by key; a copy of the store may still have them.
    std::map<std::string, RemovedEntry> m_removedEntries;
    /// Latest removals of any keys, for followers.
    std::deque<StoreChange> m_removals;
    /// Removals up to this revision are no longer kept.
    std::int64_t m_historyStart = 0;
    /// The latest gap; history before an earlier one is not kept.
    Gap m_gap;
    Listener m_listener;
    RestoreListener m_restoreListener;
    EntryOrder m_entryOrder;
    ChangeFilter m_changeFilter;
    std::function<void()> m_newsListener;
    std::function<void(const std::string& key)> m_outdatedEntryListener;
    bool m_hasNews = false;
    std::function<bool(const std::string& key)> m_keyFilter;
};

}
