#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace guavaspan {

/// Nonces seen lately, with the time after which they may be forgotten.
using NonceMemory = std::map<std::string, std::int64_t>;

struct Proof {
    std::string nonce;
    std::string header;
};

/// Proof that the caller holds the key: "seconds;nonce;hmac".
Proof makeProof(const std::string& key, const std::string& caller);

/// The proof's nonce if it is valid, fresh and not used before; otherwise empty.
std::string checkProof(const std::string& key, const std::string& caller, const std::string& header, NonceMemory&);

/// The answering side's own proof.
std::string answerProof(const std::string& key, const std::string& nonce);

}
