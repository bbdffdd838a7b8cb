#pragma once

#include "common/error.h"
#include "common/time.h"
#include "keyvalue/keyvaluetypes.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

namespace guavaspan {

/// All entries under a prefix.
struct StoreListing {
    std::vector<KeyValueEntry> entries;
    /// Changes after this revision may be missing.
    std::int64_t revision = 0;
    /// Time since the source itself knew this to be current.
    Clock::duration age {};
};

/// One write, or a removal if there is no value.
struct StoreChange {
    std::string key;
    std::optional<std::string> value;
    std::int64_t revision = 0;

    friend bool operator==(const StoreChange&, const StoreChange&) = default;
};

/// What changed after a revision.
struct StoreChanges {
    std::vector<StoreChange> changes;
    /// Continue from here.
    std::int64_t revision = 0;
    /// The history asked for is gone: list anew.
    bool historyLost = false;
    Clock::duration age {};
};

/// Something that gives a store's entries and their changes: the store itself or a peer that follows it.
class IWatchableStore {
public:
    virtual ~IWatchableStore() = default;

    virtual boost::asio::awaitable<Result<StoreListing>> listAll(std::string prefix) = 0;

    /// Waits until something changed after the revision, or for the given time.
    virtual boost::asio::awaitable<Result<StoreChanges>> watch(std::string prefix, std::int64_t after, Milliseconds wait) = 0;
};

}
