#pragma once

#include "common/random.h"
#include "dispatch/expectedtime.h"
#include "dispatch/keptprompts.h"
#include "dispatch/loadledger.h"
#include "dispatch/outcometracker.h"
#include "dispatch/pacetracker.h"
#include "routing/routingtypes.h"
#include "targets/targettypes.h"

#include <set>

namespace guavaspan {

/// Milliseconds by which a target in another failure domain scores worse. Its round trip takes some ms longer, several times for each request.
inline constexpr double defaultDomainMs = 0.02 * fullLoadMs;

/// Share of an engine's memory that may be reserved; the rest covers wrong length estimates.
inline constexpr double plannedMemoryShare = 0.92;
/// Memory share for the most urgent requests and for short requests, which free their memory soon.
inline constexpr double urgentMemoryShare = 1.0;
/// Memory share for late requests, so that they take no capacity from requests that can be in time.
inline constexpr double lateMemoryShare = 0.7;
/// Memory share for generations that move from a draining engine.
inline constexpr double movedMemoryShare = 1.05;

/// Inputs of a target selection.
struct SelectionInputs {
    const std::vector<const TargetEntry*>& candidates;
    const LoadLedger& ledger;
    const OutcomeTracker& outcomes;
    const std::optional<EngineTraits>& engine;
    std::string preferredDomain;
    /// Targets that must not be chosen, such as those that the request was already sent to.
    const std::set<std::string>& excluded;
    WorkEstimate estimate;
    TimePoint now;
    /// Milliseconds by which a target in another failure domain scores worse.
    double otherDomainMs = defaultDomainMs;
    /// Share of an engine's memory that may be reserved.
    double memoryShare = plannedMemoryShare;
    /// False for work that must not be lost, such as moves of running generations.
    bool allowsProbes = true;
    /// Many instances see the same loads of their peers, for some time, so that the least loaded target would get the requests of all.
    bool loadsAreShared = false;
    /// Without it all targets count as equally fast.
    const PaceTracker* paces = nullptr;
    /// Limits the requests at slow engines; 0 for work that must not be lost and routes without an objective.
    Milliseconds eventGapObjective { 0 };
    /// Without it no target counts as caching a part of the prompt.
    const KeptPrompts* keptPrompts = nullptr;
    std::vector<LeadingPart> promptParts;
};

/// The selected target and the figures that led to its selection.
struct TargetChoice {
    std::string target;
    /// The target is suspect, and this request probes whether it has recovered.
    bool isProbe = false;
    /// Milliseconds; the lowest one is chosen.
    double score = 0;
    int requests = 0;
    double tokens = 0;
    /// Without a value for plain services.
    std::optional<ExpectedTime> time;
};

/// Selects the target with the lowest expected time among those that have capacity for the whole expected generation, if there is one; if
/// loads are shared, the better one of two at random.
std::optional<TargetChoice> selectTarget(const SelectionInputs&, Random&);

/// True if the engine has enough free memory and a free slot for this estimate.
bool hasCapacity(const EngineTraits&, const TargetLoad&, const WorkEstimate&, double memoryShare);

}
