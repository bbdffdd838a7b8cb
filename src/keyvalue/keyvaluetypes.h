#pragma once

#include <cstdint>
#include <string>

namespace guavaspan {

/// Version of a key that does not exist.
inline constexpr std::int64_t absentVersion = 0;

/// A key's value and the version that a swap has to name.
struct KeyValueEntry {
    std::string key;
    std::string value;
    std::int64_t version = absentVersion;

    friend bool operator==(const KeyValueEntry&, const KeyValueEntry&) = default;
};

/// Answer to a compare-and-swap.
struct SwapResult {
    bool swapped = false;
    std::int64_t version = absentVersion;

    friend bool operator==(const SwapResult&, const SwapResult&) = default;
};

using LeaseId = std::int64_t;
inline constexpr LeaseId noLease = 0;

/// A conditional write; the value replaces the key only at the expected version.
struct SwapOptions {
    std::string key;
    std::int64_t expectedVersion = absentVersion;
    std::string value;
    LeaseId lease = noLease;
};

}
