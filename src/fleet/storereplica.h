#pragma once

#include "keyvalue/iwatchablestore.h"

#include <deque>
#include <functional>
#include <map>

namespace guavaspan {

/// This instance's copy of the shared store's entries, with the time at which it was last
/// confirmed to be current. It never goes back to an older revision.
class StoreReplica {
public:
    /// Called for each changed entry; without a value the entry was removed.
    using Listener = std::function<void(const std::string& key, const std::optional<std::string>& value)>;

    void setChangeListener(Listener listener) { m_listener = std::move(listener); }

    /// Entries whose key the filter rejects are neither stored nor passed on to the listener and to followers.
    void setKeyFilter(std::function<bool(const std::string& key)> keyFilter) { m_keyFilter = std::move(keyFilter); }

    /// `asOf` is a time at which the data was certainly current.
    void applyListing(const StoreListing&, BootTime asOf);
    void applyChanges(const StoreChanges&, BootTime asOf);

    bool loaded() const { return m_loaded; }
    std::int64_t revision() const { return m_revision; }
    /// Offered entries that were not applied because the replica had a newer one of their key.
    std::uint64_t olderEntries() const { return m_olderEntries; }
    BootTime confirmedAt() const { return m_confirmedAt; }
    Clock::duration age(BootTime now) const { return now - m_confirmedAt; }

    /// All entries, for a peer that follows this replica.
    StoreListing listing(BootTime now) const;

    /// Changes after a revision; sets `historyLost` if the follower must list all entries again.
    StoreChanges changesAfter(std::int64_t revision, BootTime now) const;

private:
    struct Entry {
        std::string value;
        std::int64_t revision = 0;
    };

    void apply(const StoreChange&);
    void confirm(BootTime);

    bool m_loaded = false;
    std::int64_t m_revision = 0;
    std::uint64_t m_olderEntries = 0;
    BootTime m_confirmedAt;
    std::map<std::string, Entry> m_entries;
    std::deque<StoreChange> m_history;
    /// Changes up to this revision are no longer in the history.
    std::int64_t m_historyStart = 0;
    Listener m_listener;
    std::function<bool(const std::string& key)> m_keyFilter;
};

}
