#pragma once

#include "dispatch/dispatchtypes.h"
#include "dispatch/expectedtime.h"
#include "dispatch/keptprompts.h"
#include "routing/routingtypes.h"
#include "targets/targettypes.h"

#include <boost/system/result.hpp>
#include <set>
#include <vector>

namespace guavaspan {

/// A request that needs a target.
struct PlacementRequest {
    WorkId id = 0;
    std::string service;
    /// Set for services with model engines, empty for plain services.
    std::optional<EngineTraits> engine;
    std::string organisation;
    Rank rank;
    WorkEstimate estimate;
    /// Targets that must not be chosen.
    std::set<std::string> excluded;
    /// Hash of the request's content, which identifies repeats of a refused request; 0 if repeats are not tracked.
    std::uint64_t contentHash = 0;
    /// The loads of peers come from a summary, which many instances get at the same time.
    bool loadsAreShared = false;
    /// Objective for the time between events; 0 for none.
    Milliseconds eventGapObjective { 0 };
    /// Parts of the prompt that other requests share, which an engine may have cached.
    std::vector<LeadingPart> promptParts;
    /// Deadline for the start; a request that starts later cannot finish in time.
    TimePoint latestStart;
};

/// The instance that chose a target.
enum class PlacementDecider {
    /// This instance, as the pool's owner or for a plain service.
    Here,
    /// The instance that owns the service's pool.
    Owner,
    /// This instance, because no owner responded.
    HereWithoutOwner,
};

std::string_view toString(PlacementDecider);

/// The chosen target and the load figures behind the choice.
struct Placement {
    TargetEntry target;
    int targetRequests = 0;
    double targetTokens = 0;
    double score = 0;
    /// What the deciding instance expects; absent for plain services.
    std::optional<ExpectedTime> time;
    Clock::duration waited {};
    /// The request was refused before and can no longer finish in time.
    bool late = false;
    PlacementDecider decider = PlacementDecider::Here;
};

enum class RefusalCause {
    /// No capacity became free before the deadline, or none is expected to.
    NoRoom,
    /// The caller disconnected while the request waited.
    Cancelled,
    /// All targets of the service are in evacuated failure domains.
    Evacuated,
};

/// The reason why a request gets no target, and when to retry.
struct PlacementRefusal {
    RefusalCause cause = RefusalCause::NoRoom;
    /// Time until capacity is expected, with jitter so that callers do not retry at the same moment.
    Clock::duration retryAfter {};
    std::string detail;
};

using PlacementOutcome = boost::system::result<Placement, PlacementRefusal>;

}
