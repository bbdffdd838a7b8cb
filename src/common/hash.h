#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace guavaspan {

/// Stable 64-bit hash of bytes; the same on every instance and in every version.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Formats a hash as 16 lower-case hexadecimal digits.
std::string hexOf(std::uint64_t);

/// Weight of a member for a key; the member with the highest weight owns the key.
std::uint64_t rendezvousWeight(std::string_view member, std::string_view key);

/// SHA-256 as lower-case hexadecimal.
std::string sha256Hex(std::string_view bytes);

}
