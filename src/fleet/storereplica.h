#pragma once

#include "keyvalue/iwatchablestore.h"

#include <deque>
#include <functional>
#include <map>

namespace guavaspan {

/// This instance's copy of the shared store's entries, and how old the knowledge is
/// that it is current. It never goes back to an older revision.
class StoreReplica {
public:
    /// Without a value the entry was removed.
    using Listener = std::function<void(const std::string& key, const std::optional<std::string>& value)>;

    void onChange(Listener listener) { m_listener = std::move(listener); }

    /// Entries under other keys are neither held nor passed on.
    void setKeyFilter(std::function<bool(const std::string& key)> relevant) { m_relevant = std::move(relevant); }

    /// `asOf` is a moment at which the listing was surely current.
    void applyListing(const StoreListing&, BootTime asOf);
    void applyChanges(const StoreChanges&, BootTime asOf);

    bool loaded() const { return m_loaded; }
    std::int64_t revision() const { return m_revision; }
    BootTime confirmedAt() const { return m_confirmedAt; }
    Clock::duration age(BootTime now) const { return now - m_confirmedAt; }

    /// Entries for a peer that follows this copy.
    StoreListing listing(BootTime now) const;

    /// Changes after a revision, or the advice to list anew.
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
    BootTime m_confirmedAt;
    std::map<std::string, Entry> m_entries;
    std::deque<StoreChange> m_history;
    /// Changes up to this revision are no longer in the history.
    std::int64_t m_historyStart = 0;
    Listener m_listener;
    std::function<bool(const std::string& key)> m_relevant;
};

}
