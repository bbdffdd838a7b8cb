#pragma once

#include "common/error.h"
#include "common/time.h"
#include "keyvalue/keyvaluetypes.h"

#include <boost/asio/awaitable.hpp>
#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace guavaspan {

/// Position in the store's sequence of changes. The store begins a new era when it comes back from a copy: the changes
/// since the copy are lost, and their numbers are given out again.
struct StoreRevision {
    std::int64_t era = 0;
    /// Only meaningful within the era.
    std::int64_t number = 0;

    friend auto operator<=>(const StoreRevision&, const StoreRevision&) = default;
};

/// All entries with a key prefix.
struct StoreListing {
    std::vector<KeyValueEntry> entries;
    /// All changes up to this revision are included; later ones may be missing. The versions of the entries are numbers
    /// of its era.
    StoreRevision revision;
    /// Time since the entries were last known to be up to date at the source.
    Clock::duration age {};
    /// Time since the source regained the store, if it had lost it. Leases may have expired meanwhile.
    std::optional<Clock::duration> sinceOutage;
};

/// A write of a key, or its removal if there is no value.
struct StoreChange {
    std::string key;
    std::optional<std::string> value;
    /// Number within the era of the changes that contain this one.
    std::int64_t revision = 0;
    /// Of a removed key, as far as the source knows it.
    std::optional<std::string> lastValue;

    friend bool operator==(const StoreChange&, const StoreChange&) = default;
};

/// Changes after a given revision.
struct StoreChanges {
    std::vector<StoreChange> changes;
    /// Revision to pass to the next watch.
    StoreRevision revision;
    /// The source no longer has the changes after the given revision; list all entries again.
    bool historyLost = false;
    Clock::duration age {};
    std::optional<Clock::duration> sinceOutage;
    /// Time that had passed at the source between the call and its answer.
    Clock::duration waited {};
};

/// Source of a store's entries and their changes: the store or a peer that replicates it.
class IWatchableStore {
public:
    virtual ~IWatchableStore() = default;

    virtual boost::asio::awaitable<Result<StoreListing>> listAll(std::string prefix) = 0;

    /// Returns the changes after a revision; if there are none yet, waits for one up to maxWait. The history is lost if
    /// the source is in another era.
    virtual boost::asio::awaitable<Result<StoreChanges>> watch(std::string prefix, StoreRevision after, Milliseconds maxWait) = 0;
};

}
