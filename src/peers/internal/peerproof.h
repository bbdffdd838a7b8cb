#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace guavaspan {

/// Nonces seen lately, with the time after which they may be forgotten.
using NonceCache = std::map<std::string, std::int64_t>;

struct PeerProof {
    std::string nonce;
    std::string header;
};

/// PeerProof that the caller holds the key: "seconds;nonce;hmac".
PeerProof makeProof(const std::string& key, const std::string& instanceName);

/// The proof's nonce if it is valid, fresh and not used before; otherwise empty.
std::string checkProof(const std::string& key, const std::string& instanceName, const std::string& header, NonceCache&);

/// The answering side's own proof.
std::string responseProof(const std::string& key, const std::string& nonce);

}
