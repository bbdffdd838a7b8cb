#pragma once

#include "common/time.h"
#include "quarantine/suspect.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace guavaspan {

/// Identifies a trial in the fleet.
struct TrialId {
    std::string instance;
    /// Start time of the instance's process.
    std::int64_t incarnation = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const TrialId&, const TrialId&) = default;
};

/// A single send of a request that is suspected of crashing targets.
struct Trial {
    std::vector<Suspect> suspects;
    std::string target;

    friend bool operator==(const Trial&, const Trial&) = default;
};

bool haveCommonSuspect(const std::vector<Suspect>&, const std::vector<Suspect>&);

enum class TrialDecision {
    Granted,
    /// Another request with one of the suspects is on trial.
    SuspectOnTrial,
    /// Another suspect is on trial at the target.
    TargetOnTrial,
};

/// How a trial ended. While its result is not known to all instances, its suspects and its target stay on trial.
enum class TrialEnd {
    Answered,
    /// The connection broke; the reports of this are under way.
    Broken,
    /// The target is silent; it takes the expiry of its entry to know whether it has crashed.
    Silent,
};

/// How a trial ends whose caller left or whose deadline passed.
TrialEnd trialEndAfterSilence(Clock::duration silence);

/// Keeps trials apart, so that each shows whether its suspects crash targets: of a suspect there is one at a time, and of the
/// trials at a target too.
class TrialLedger {
public:
    /// Starts the trial, or keeps it if it runs already. Trials that are not kept end by themselves.
    TrialDecision start(const TrialId&, const Trial&, TimePoint now);

    void end(const TrialId&, TrialEnd, TimePoint now);

    std::size_t size() const { return m_trials.size(); }

private:
    struct RunningTrial {
        Trial trial;
        TimePoint expiresAt;
    };

    std::map<TrialId, RunningTrial> m_trials;
};

}
