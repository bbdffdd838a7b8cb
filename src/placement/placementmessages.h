#pragma once

#include "fleet/fleettypes.h"
#include "placement/placementtypes.h"
#include "quarantine/quarantineservice.h"

#include <optional>
#include <variant>

namespace guavaspan {

/// Asks the owner of a pool for a target. Sent again until it is answered, and
/// while it waits as a sign that the asker still wants it.
struct PlacementQuery {
    std::string requester;
    std::int64_t requesterIncarnation = 0;
    WorkId id = 0;
    std::string service;
    std::string organisation;
    Rank rank;
    WorkEstimate estimate;
    std::vector<std::string> excluded;
    std::uint64_t contentHash = 0;
    Milliseconds maxWait { 0 };

    friend bool operator==(const PlacementQuery&, const PlacementQuery&) = default;
};

enum class PlacementStatus {
    Waiting,
    Granted,
    Refused,
};

struct PlacementResponse {
    std::string owner;
    WorkId id = 0;
    PlacementStatus kind = PlacementStatus::Waiting;
    std::string target;
    /// Counts the owner's grants to this asker.
    std::int64_t grantNumber = 0;
    int targetRequests = 0;
    double targetTokens = 0;
    bool late = false;
    Milliseconds retryAfter { 0 };

    friend bool operator==(const PlacementResponse&, const PlacementResponse&) = default;
};

/// The work of an ask is over, or the asker no longer wants it.
struct PlacementRelease {
    std::string requester;
    std::int64_t requesterIncarnation = 0;
    WorkId id = 0;

    friend bool operator==(const PlacementRelease&, const PlacementRelease&) = default;
};

/// Asks the owner of a pool for a turn to move a generation out of a leaving engine.
struct MoveQuery {
    std::string requester;
    std::int64_t requesterIncarnation = 0;
    WorkId id = 0;
    std::string service;
    std::string source;
    std::string sourceFailureDomain;
    int tokensHeld = 0;
    int remainingTokens = 0;
    std::vector<std::string> excluded;

    friend bool operator==(const MoveQuery&, const MoveQuery&) = default;
};

/// The generation may move to this engine now; without one it waits for its turn.
struct MoveResponse {
    std::string owner;
    WorkId id = 0;
    std::string destination;

    friend bool operator==(const MoveResponse&, const MoveResponse&) = default;
};

/// The links are free again, or the move is not wanted any more.
struct MoveRelease {
    std::string requester;
    std::int64_t requesterIncarnation = 0;
    WorkId id = 0;

    friend bool operator==(const MoveRelease&, const MoveRelease&) = default;
};

/// An engine itself said that it leaves, which the shared store does not show yet.
struct ShutdownNotice {
    std::string target;
    /// The life of the target that this is about.
    std::int64_t startedAt = 0;

    friend bool operator==(const ShutdownNotice&, const ShutdownNotice&) = default;
};

/// Everything that instances tell each other in datagrams.
using FleetMessage = std::variant<InstanceLoadReport, PlacementQuery, PlacementResponse, PlacementRelease, MoveQuery, MoveResponse, MoveRelease, ShutdownNotice, CrashReport, CompletionReport, ConvictionNotice, PardonNotice>;

std::string encodeFleetMessage(const FleetMessage&);
std::optional<FleetMessage> decodeFleetMessage(const std::string&);

}
