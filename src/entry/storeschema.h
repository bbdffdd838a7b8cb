#pragma once

#include "routing/routingtypes.h"
#include "targets/targettypes.h"

#include <compare>
#include <functional>
#include <optional>
#include <string>

namespace guavaspan {

/// Keys of the shared store and decoders of their values, as the platform defines them.
struct StoreSchema {
    std::string configurationKey;
    std::string targetPrefix;
    std::string instancePrefix;
    std::string usagePrefix;
    std::string crashPrefix;
    /// A key below it names a failure domain that is evacuated while the key exists, whatever its value.
    std::string evacuationPrefix;
    std::function<std::optional<RoutingConfiguration>(const std::string&)> decodeConfiguration;
    std::function<std::optional<TargetEntry>(const std::string& id, const std::string&)> decodeTarget;

    /// Compares two values of a key by the order in which they were written; empty if the values do not tell it.
    std::optional<std::strong_ordering> compareWriteOrder(const std::string& key, const std::string& left, const std::string& right) const;

    /// False if the new value of a key only shows that the key's writer is alive.
    bool changesMoreThanHeartbeat(const std::string& key, const std::string& oldValue, const std::string& newValue) const;
};

}
