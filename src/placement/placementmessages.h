#pragma once

#include "fleet/fleettypes.h"
#include "placement/placementtypes.h"
#include "quarantine/quarantineservice.h"

#include <optional>
#include <variant>

namespace guavaspan {

/// Asks the owner of a pool for a target. Sent again until it is answered, and
/// while it waits as a sign that the asker still wants it.
struct PlacementAsk {
    std::string asker;
    std::int64_t askerLife = 0;
    WorkId id = 0;
    std::string service;
    std::string organisation;
    Rank rank;
    WorkEstimate estimate;
    std::vector<std::string> excluded;
    std::uint64_t content = 0;
    Milliseconds patience { 0 };

    friend bool operator==(const PlacementAsk&, const PlacementAsk&) = default;
};

enum class PlacementAnswerKind {
    Waiting,
    Granted,
    Refused,
};

struct PlacementAnswer {
    std::string owner;
    WorkId id = 0;
    PlacementAnswerKind kind = PlacementAnswerKind::Waiting;
    std::string target;
    /// Counts the owner's grants to this asker.
    std::int64_t grantNumber = 0;
    int targetRequests = 0;
    double targetTokens = 0;
    bool late = false;
    Milliseconds retryAfter { 0 };

    friend bool operator==(const PlacementAnswer&, const PlacementAnswer&) = default;
};

/// The work of an ask is over, or the asker no longer wants it.
struct PlacementEnded {
    std::string asker;
    std::int64_t askerLife = 0;
    WorkId id = 0;

    friend bool operator==(const PlacementEnded&, const PlacementEnded&) = default;
};

/// Asks the owner of a pool for a turn to move a generation out of a leaving engine.
struct MoveAsk {
    std::string asker;
    std::int64_t askerLife = 0;
    WorkId id = 0;
    std::string service;
    std::string source;
    std::string sourceDomain;
    int tokensHeld = 0;
    int remainingTokens = 0;
    std::vector<std::string> excluded;

    friend bool operator==(const MoveAsk&, const MoveAsk&) = default;
};

/// The generation may move to this engine now; without one it waits for its turn.
struct MoveAnswer {
    std::string owner;
    WorkId id = 0;
    std::string destination;

    friend bool operator==(const MoveAnswer&, const MoveAnswer&) = default;
};

/// The links are free again, or the move is not wanted any more.
struct MoveEnded {
    std::string asker;
    std::int64_t askerLife = 0;
    WorkId id = 0;

    friend bool operator==(const MoveEnded&, const MoveEnded&) = default;
};

/// An engine itself said that it leaves, which the shared store does not show yet.
struct TargetLeaving {
    std::string target;
    /// The life of the target that this is about.
    std::int64_t startedAt = 0;

    friend bool operator==(const TargetLeaving&, const TargetLeaving&) = default;
};

/// Everything that instances tell each other in datagrams.
using FleetMessage = std::variant<InstanceLoads, PlacementAsk, PlacementAnswer, PlacementEnded, MoveAsk, MoveAnswer, MoveEnded, TargetLeaving, CrashReport, CompletionReport, ConvictionNotice, PardonNotice>;

std::string encodeFleetMessage(const FleetMessage&);
std::optional<FleetMessage> decodeFleetMessage(const std::string&);

}
