#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace guavaspan {

/// Recently used nonces, each with its expiry in seconds of Unix time.
using NonceCache = std::map<std::string, std::int64_t>;

/// Proves that an instance has the shared key, without sending the key.
struct PeerProof {
    std::string nonce;
    std::string header;
};

/// Makes the proof of a connecting instance; its header is "seconds;nonce;hmac".
PeerProof makeProof(const std::string& key, const std::string& instanceName);

/// Returns the nonce if the proof is valid, recent and not used before; otherwise an empty string.
std::string checkProof(const std::string& key, const std::string& instanceName, const std::string& header, NonceCache&);

/// Proves to the connecting instance that the accepting instance has the shared key.
std::string responseProof(const std::string& key, const std::string& nonce);

}
