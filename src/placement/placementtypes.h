#pragma once

#include "dispatch/dispatchtypes.h"
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
    std::optional<EngineTraits> engine;
    std::string organisation;
    Rank rank;
    WorkEstimate estimate;
    std::set<std::string> excluded;
    /// Hash of what the caller wants, by which one that was refused is known again; 0 if it does not matter.
    std::uint64_t contentHash = 0;
    /// A start later than this cannot be in time.
    TimePoint latestStart;
};

/// Who decided on a target.
enum class PlacementDecider {
    Here,
    /// The instance that owns the service's pool.
    Owner,
    /// This instance, since no owner answered.
    HereWithoutOwner,
};

std::string_view toString(PlacementDecider);

/// Where a request goes, and the figures that decided it.
struct Placement {
    TargetEntry target;
    int targetRequests = 0;
    double targetTokens = 0;
    double score = 0;
    Clock::duration waited {};
    /// Its caller was refused before and can no longer be answered in time.
    bool late = false;
    PlacementDecider decider = PlacementDecider::Here;
};

enum class RefusalCause {
    /// No room is expected in time, or came in time.
    NoRoom,
    /// The caller left while it waited.
    Cancelled,
};

/// A request that gets no target.
struct PlacementRefusal {
    RefusalCause cause = RefusalCause::NoRoom;
    /// Time after which room is expected, spread so that callers do not return together.
    Clock::duration retryAfter {};
    std::string detail;
};

using PlacementOutcome = boost::system::result<Placement, PlacementRefusal>;

}
