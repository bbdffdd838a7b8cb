#pragma once

#include "common/random.h"
#include "dispatch/loadledger.h"
#include "dispatch/outcometracker.h"
#include "routing/routingtypes.h"
#include "targets/targettypes.h"

#include <set>

namespace guavaspan {

/// Preference for the own failure domain where a round trip of some ms is all that differs.
inline constexpr double nearDomainPreference = 0.02;

/// What a choice may look at.
struct SelectionInputs {
    const std::vector<const TargetEntry*>& candidates;
    const LoadLedger& ledger;
    const OutcomeTracker& outcomes;
    const std::optional<EngineTraits>& engine;
    std::string ownDomain;
    /// Targets that this request already met.
    const std::set<std::string>& excluded;
    WorkEstimate estimate;
    TimePoint now;
    /// Load that another failure domain adds, in parts of an engine or of a slot.
    double otherDomainPenalty = nearDomainPreference;
    /// Engines without room are passed over.
    bool requireRoom = true;
};

/// The target of a request and the figures that chose it.
struct TargetChoice {
    std::string target;
    double score = 0;
    int requests = 0;
    double tokens = 0;
};

/// Least loaded target that has room for the whole expected generation, or
/// nothing if there is none.
std::optional<TargetChoice> selectTarget(const SelectionInputs&, Random&);

/// True if the engine has memory and a slot for this estimate.
bool hasRoom(const EngineTraits&, const TargetLoad&, const WorkEstimate&);

}
