#pragma once

#include "fleet/fleettypes.h"
#include "placement/broadcastrelay.h"
#include "placement/placementtypes.h"
#include "quarantine/crashguardmessages.h"
#include "quarantine/promptguardmessages.h"
#include "quarantine/trialledger.h"

#include <array>
#include <optional>
#include <string_view>
#include <variant>

namespace guavaspan {

/// Requests a target from the owner of a pool. Repeated until a response arrives, and while
/// the request waits so that the owner keeps it queued.
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
    /// Objective for the time between events; 0 for none, and in the queries of older versions.
    Milliseconds eventGapObjective { 0 };
    /// Empty in the queries of older versions.
    std::vector<LeadingPart> promptParts;

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
    PlacementStatus status = PlacementStatus::Waiting;
    std::string target;
    /// Sequence number of the owner's grants to this requester.
    std::int64_t grantNumber = 0;
    int targetRequests = 0;
    double targetTokens = 0;
    bool late = false;
    Milliseconds retryAfter { 0 };
    /// Times that the owner expects to the first and last event; 0 in the responses of older versions.
    Milliseconds expectedFirstEvent { 0 };
    Milliseconds expectedEnd { 0 };

    friend bool operator==(const PlacementResponse&, const PlacementResponse&) = default;
};

/// Releases a placement: the work ended, or the requester no longer needs a target.
struct PlacementRelease {
    std::string requester;
    std::int64_t requesterIncarnation = 0;
    WorkId id = 0;

    friend bool operator==(const PlacementRelease&, const PlacementRelease&) = default;
};

/// Requests permission from the owner of a pool to move a generation off an engine that shuts down.
struct MoveQuery {
    std::string requester;
    std::int64_t requesterIncarnation = 0;
    WorkId id = 0;
    std::string service;
    std::string source;
    std::string sourceFailureDomain;
    /// Tokens of the prompt and the output so far, whose attention state the source holds.
    int tokensHeld = 0;
    int remainingTokens = 0;
    std::vector<std::string> excluded;
    /// Time until the source shuts down, if the requester knows it.
    std::optional<Milliseconds> timeToShutdown;

    friend bool operator==(const MoveQuery&, const MoveQuery&) = default;
};

/// Permission to move a generation to an engine; an empty destination means that the move is queued.
struct MoveResponse {
    std::string owner;
    WorkId id = 0;
    std::string destination;

    friend bool operator==(const MoveResponse&, const MoveResponse&) = default;
};

/// Releases the bandwidth of a move that ended or is no longer needed.
struct MoveRelease {
    std::string requester;
    std::int64_t requesterIncarnation = 0;
    WorkId id = 0;
    /// The granted destination refused the generation for lack of memory.
    bool destinationFull = false;

    friend bool operator==(const MoveRelease&, const MoveRelease&) = default;
};

/// Forwards the shutdown announcement of an engine to peers, before the engine's entry in the shared store shows it.
struct ShutdownNotice {
    std::string target;
    /// Start time of the target's process, which identifies its incarnation.
    std::int64_t startedAt = 0;
    std::optional<Milliseconds> timeToShutdown;

    friend bool operator==(const ShutdownNotice&, const ShutdownNotice&) = default;
};

/// Asks the owner of a service for the trial of a request that is suspected of crashing targets; repeated while it runs.
struct TrialQuery {
    TrialId id;
    Trial trial;

    friend bool operator==(const TrialQuery&, const TrialQuery&) = default;
};

/// The owner's decision on a trial of the instance that receives it.
struct TrialResponse {
    std::uint64_t number = 0;
    TrialDecision decision = TrialDecision::Granted;

    friend bool operator==(const TrialResponse&, const TrialResponse&) = default;
};

/// The trial has ended.
struct TrialRelease {
    TrialId id;
    TrialEnd end = TrialEnd::Answered;

    friend bool operator==(const TrialRelease&, const TrialRelease&) = default;
};

/// All messages that instances exchange in datagrams. The index of an alternative is its type on the wire.
using FleetMessage = std::variant<InstanceLoadReport, PlacementQuery, PlacementResponse, PlacementRelease, MoveQuery, MoveResponse, MoveRelease, ShutdownNotice, CrashReport, CompletionReport, ConvictionNotice, PardonNotice, InterruptionReport, PriorCompletionNotice, PromptInterruptionReport, PromptPartInquiry, PromptPartClearance, PromptPartConviction, TrialQuery, TrialResponse, TrialRelease, FleetSummary, BroadcastBatch>;

/// Names of the messages by the index of their types.
inline constexpr std::array<std::string_view, std::variant_size_v<FleetMessage>> fleetMessageKinds { "load_report", "placement_query", "placement_response", "placement_release", "move_query", "move_response", "move_release", "shutdown_notice", "crash_report", "completion_report", "conviction_notice", "pardon_notice", "interruption_report", "prior_completion_notice", "prompt_interruption_report", "prompt_part_inquiry", "prompt_part_clearance", "prompt_part_conviction", "trial_query", "trial_response", "trial_release", "summary", "broadcast_batch" };

std::string encodeFleetMessage(const FleetMessage&);
std::optional<FleetMessage> decodeFleetMessage(const std::string&);

}
