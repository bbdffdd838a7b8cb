#pragma once

#include "common/time.h"

#include <cstdint>
#include <string>

namespace guavaspan {

/// Age of the oldest copy from which a store is expected to come back; writes that it acknowledged earlier are safe.
inline constexpr auto maxStoreCopyAge = Seconds(60);

/// Version of a key that does not exist.
inline constexpr std::int64_t absentVersion = 0;

/// A key with its value and version; a compare-and-swap has to give this version.
struct KeyValueEntry {
    std::string key;
    std::string value;
    std::int64_t version = absentVersion;

    friend bool operator==(const KeyValueEntry&, const KeyValueEntry&) = default;
};

/// Result of a compare-and-swap: whether the value was written, and its new version.
struct SwapResult {
    bool swapped = false;
    std::int64_t version = absentVersion;

    friend bool operator==(const SwapResult&, const SwapResult&) = default;
};

/// Identifies a lease; when it expires, the keys attached to it are deleted.
using LeaseId = std::int64_t;
/// The key is attached to no lease.
inline constexpr LeaseId noLease = 0;

/// Arguments of a compare-and-swap, which writes the value only if the key is at the expected version.
struct SwapOptions {
    std::string key;
    std::int64_t expectedVersion = absentVersion;
    std::string value;
    LeaseId lease = noLease;
};

}
