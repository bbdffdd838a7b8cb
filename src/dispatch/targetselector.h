#pragma once

#include "common/random.h"
#include "dispatch/expectedtime.h"
#include "dispatch/keptprompts.h"
#include "dispatch/loadledger.h"
#include "dispatch/memoryforecast.h"
#include "dispatch/memoryreserve.h"
#include "dispatch/outcometracker.h"
#include "dispatch/pacetracker.h"
#include "routing/routingtypes.h"
#include "targets/targettypes.h"

#include <set>

namespace guavaspan {

/// Milliseconds by which a target in another failure domain scores worse. Its round trip takes some ms longer, several times for each request.
inline constexpr double defaultDomainMs = 0.02 * fullLoadMs;

/// How selectTarget() admits work to the memory of engines.
struct MemoryAdmission {
    AdmissionRule rule = ordinaryAdmission;
    /// Tokens that a rule with a reserve leaves free at each engine.
    double reservedTokens = 0;
    /// Knows the destinations whose room is smaller than the ledger shows; may be absent.
    const MemoryReserve* reserve = nullptr;
};

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
    MemoryAdmission admission;
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

/// True if the engine has a free slot and is expected to have enough memory for this estimate, besides the unavailable tokens.
bool hasCapacity(const EngineTraits&, const TargetLoad&, const WorkEstimate&, const AdmissionRule&, double unavailableTokens = 0);

}
