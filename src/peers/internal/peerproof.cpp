#include "peers/internal/peerproof.h"

#include "common/encoding.h"
#include "common/random.h"

#include <array>
#include <chrono>
#include <cstdlib>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace guavaspan {

namespace {

    constexpr std::int64_t proofLifetimeSeconds = 60;

    std::string hmacOf(const std::string& key, const std::string& text)
    {
        std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
        unsigned int length = 0;
        HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &length);
        return toBase64Url({ reinterpret_cast<const char*>(digest.data()), length });
    }

    std::int64_t unixSeconds()
    {
        return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    std::string signedText(const std::string& seconds, const std::string& nonce, const std::string& caller)
    {
        return "call;" + seconds + ";" + nonce + ";" + caller;
    }

    bool equalInConstantTime(const std::string& a, const std::string& b)
    {
        return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
    }

}

Proof makeProof(const std::string& key, const std::string& caller)
{
    auto random = randomFromSystem();
    auto nonce = randomId(random);
    auto seconds = std::to_string(unixSeconds());
    Proof proof;
    proof.nonce = nonce;
    proof.header = seconds + ";" + nonce + ";" + hmacOf(key, signedText(seconds, nonce, caller));
    return proof;
}

std::string checkProof(const std::string& key, const std::string& caller, const std::string& header, NonceMemory& seen)
{
    auto first = header.find(';');
    auto second = header.find(';', first + 1);
    if (caller.empty() || first == std::string::npos || second == std::string::npos)
        return {};
    auto seconds = header.substr(0, first);
    auto nonce = header.substr(first + 1, second - first - 1);
    if (!equalInConstantTime(header.substr(second + 1), hmacOf(key, signedText(seconds, nonce, caller))))
        return {};
    auto now = unixSeconds();
    if (std::abs(now - std::strtoll(seconds.c_str(), nullptr, 10)) > proofLifetimeSeconds)
        return {};
    for (auto entry = seen.begin(); entry != seen.end();)
        entry = entry->second < now ? seen.erase(entry) : std::next(entry);
    if (!seen.emplace(nonce, now + 2 * proofLifetimeSeconds).second)
        return {};
    return nonce;
}

std::string answerProof(const std::string& key, const std::string& nonce)
{
    return hmacOf(key, "answer;" + nonce);
}

}
