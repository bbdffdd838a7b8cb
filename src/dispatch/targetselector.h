#pragma once

#include "common/random.h"
#include "dispatch/loadledger.h"
#include "dispatch/outcometracker.h"
#include "routing/routingtypes.h"
#include "targets/targettypes.h"

#include <set>

namespace guavaspan {

/// Preference for the own failure domain where a round trip of some ms is all that differs.
inline constexpr double defaultDomainPenalty = 0.02;

/// Part of an engine's memory that is planned for; the rest covers wrong length estimates.
inline constexpr double plannedMemoryShare = 0.92;
/// The same for the most urgent work, and for brief work, which gives it back at once.
inline constexpr double urgentMemoryShare = 1.0;
/// The same for work that is late anyway, so that it takes no room from work that can be in time.
inline constexpr double lateMemoryShare = 0.7;

/// The same for generations that move out of a leaving engine.
inline constexpr double movedMemoryShare = 1.05;

/// What a choice may look at.
struct SelectionInputs {
    const std::vector<const TargetEntry*>& candidates;
    const LoadLedger& ledger;
    const OutcomeTracker& outcomes;
    const std::optional<EngineTraits>& engine;
    std::string preferredDomain;
    /// Targets that this request already met.
    const std::set<std::string>& excluded;
    WorkEstimate estimate;
    TimePoint now;
    /// Load that another failure domain adds, in parts of an engine or of a slot.
    double otherDomainPenalty = defaultDomainPenalty;
    /// Part of an engine's memory that may be planned for.
    double memoryShare = plannedMemoryShare;
    /// Work that must not be lost tests no suspects.
    bool allowsProbes = true;
};

/// The target of a request and the figures that chose it.
struct TargetChoice {
    std::string target;
    /// Its recent requests failed, and this one tests whether it works again.
    bool isProbe = false;
    double score = 0;
    int requests = 0;
    double tokens = 0;
};

/// Least loaded target that has room for the whole expected generation, or
/// nothing if there is none.
std::optional<TargetChoice> selectTarget(const SelectionInputs&, Random&);

/// True if the engine has memory and a slot for this estimate.
bool hasCapacity(const EngineTraits&, const TargetLoad&, const WorkEstimate&, double memoryShare);

}
