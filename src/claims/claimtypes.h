#pragma once

#include "common/error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace guavaspan {

/// Stored state of a non-idempotent request.
enum class ClaimState {
    /// An instance holds the claim and may have sent the request.
    Claimed,
    /// The request ran and its reply is stored.
    Done,
    /// The request may have run; it is not repeated.
    Unknown,
};

/// A target's reply, stored for resent requests.
struct StoredReply {
    unsigned status = 200;
    std::string contentType;
    std::string body;

    friend bool operator==(const StoredReply&, const StoredReply&) = default;
};

/// Identifies a request by the idempotency key that its caller chose.
struct ClaimKey {
    std::string organisation;
    std::string service;
    std::string key;

    friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

/// Requests the exclusive right to run a request.
struct ClaimRequest {
    ClaimKey key;
    std::string bodyDigest;
    /// Unique to this attempt; identifies its claim if the response to the write was lost.
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

/// Only the attempt with the claim's nonce may send the request.
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

/// The same key was used with a different body.
struct ClaimConflict {
    friend bool operator==(const ClaimConflict&, const ClaimConflict&) = default;
};

/// The claim could not be decided; this attempt must not send the request.
struct ClaimUnavailable {
    Error error;

    friend bool operator==(const ClaimUnavailable&, const ClaimUnavailable&) = default;
};

using ClaimVerdict = std::variant<ClaimGranted, ClaimReplayed, ClaimInProgress, ClaimOutcomeUnknown, ClaimConflict, ClaimUnavailable>;

/// How a claimed request ended.
struct ClaimSettlement {
    ClaimKey key;
    /// Empty for a settlement by an operator, which overrides any holder.
    std::string nonce;
    Outcome outcome = Outcome::Unknown;
    StoredReply reply;
};

}
