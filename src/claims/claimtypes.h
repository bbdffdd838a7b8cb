#pragma once

#include "common/error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace guavaspan {

/// What is durably known about a non-idempotent request.
enum class ClaimState {
    /// Somebody may be running it.
    Claimed,
    /// It ran and its reply is kept.
    Done,
    /// It may have run; it will not be repeated.
    Unknown,
};

/// A target's reply as it is kept for re-sends.
struct StoredReply {
    unsigned status = 200;
    std::string contentType;
    std::string body;

    friend bool operator==(const StoredReply&, const StoredReply&) = default;
};

/// The caller's own identity for a request.
struct ClaimKey {
    std::string organisation;
    std::string service;
    std::string key;

    friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

/// A wish to be the one that runs a request.
struct ClaimRequest {
    ClaimKey key;
    std::string bodyDigest;
    /// Tells this attempt from every other, also after a lost answer.
    std::string nonce;
    std::int64_t nowMs = 0;
    std::int64_t deadlineMs = 0;
};

struct ClaimRecord {
    std::string bodyDigest;
    std::string nonce;
    ClaimState state = ClaimState::Claimed;
    std::int64_t claimedAtMs = 0;
    std::int64_t deadlineMs = 0;
    StoredReply reply;

    friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/// The holder of this nonce, and nobody else, may send the request.
struct ClaimGranted {
    friend bool operator==(const ClaimGranted&, const ClaimGranted&) = default;
};

struct ClaimReplayed {
    StoredReply reply;

    friend bool operator==(const ClaimReplayed&, const ClaimReplayed&) = default;
};

struct ClaimInProgress {
    friend bool operator==(const ClaimInProgress&, const ClaimInProgress&) = default;
};

struct ClaimOutcomeUnknown {
    friend bool operator==(const ClaimOutcomeUnknown&, const ClaimOutcomeUnknown&) = default;
};

/// The same key was used with another body.
struct ClaimConflict {
    friend bool operator==(const ClaimConflict&, const ClaimConflict&) = default;
};

/// The claim is certainly not in force for this attempt.
struct ClaimUnavailable {
    Error error;

    friend bool operator==(const ClaimUnavailable&, const ClaimUnavailable&) = default;
};

using ClaimVerdict = std::variant<ClaimGranted, ClaimReplayed, ClaimInProgress, ClaimOutcomeUnknown, ClaimConflict, ClaimUnavailable>;

/// How a claimed request ended.
struct ClaimSettlement {
    ClaimKey key;
    /// Empty when an operator settles, who overrides any holder.
    std::string nonce;
    Outcome outcome = Outcome::Unknown;
    StoredReply reply;
};

}
