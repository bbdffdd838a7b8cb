#include "common/hash.h"

#include <array>
#include <fmt/format.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace guavaspan {

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string hexOf(std::uint64_t value)
{
    return fmt::format("{:016x}", value);
}

std::uint64_t rendezvousWeight(std::string_view member, std::string_view key)
{
    return stableHash(member, stableHash(key));
}

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    std::string text;
    for (auto byte : digest)
        text += fmt::format("{:02x}", byte);
    return text;
}

}
