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

    std::string base64UrlHmac(const std::string& key, const std::string& text)
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

    std::string signedText(const std::string& seconds, const std::string& nonce, const std::string& instanceName)
    {
        return "call;" + seconds + ";" + nonce + ";" + instanceName;
    }

    bool equalInConstantTime(const std::string& a, const std::string& b)
    {
        return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
    }

}

PeerProof makeProof(const std::string& key, const std::string& instanceName)
{
    auto random = randomFromSystem();
    auto nonce = randomId(random);
    auto seconds = std::to_string(unixSeconds());
    PeerProof proof;
    proof.nonce = nonce;
    proof.header = seconds + ";" + nonce + ";" + base64UrlHmac(key, signedText(seconds, nonce, instanceName));
    return proof;
}

std::string checkProof(const std::string& key, const std::string& instanceName, const std::string& header, NonceCache& usedNonces)
{
    auto firstSeparator = header.find(';');
    auto second = header.find(';', firstSeparator + 1);
    if (instanceName.empty() || firstSeparator == std::string::npos || second == std::string::npos)
        return {};
    auto seconds = header.substr(0, firstSeparator);
    auto nonce = header.substr(firstSeparator + 1, second - firstSeparator - 1);
    if (!equalInConstantTime(header.substr(second + 1), base64UrlHmac(key, signedText(seconds, nonce, instanceName))))
        return {};
    auto now = unixSeconds();
    if (std::abs(now - std::strtoll(seconds.c_str(), nullptr, 10)) > proofLifetimeSeconds)
        return {};
    for (auto entry = usedNonces.begin(); entry != usedNonces.end();)
        entry = entry->second < now ? usedNonces.erase(entry) : std::next(entry);
    if (!usedNonces.emplace(nonce, now + 2 * proofLifetimeSeconds).second)
        return {};
    return nonce;
}

std::string responseProof(const std::string& key, const std::string& nonce)
{
    return base64UrlHmac(key, "answer;" + nonce);
}

}
