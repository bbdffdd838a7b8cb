#include "quarantine/trialledger.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Several times the interval at which instances repeat the trials that they run.
    constexpr auto trialLifetime = Seconds(1);
    /// A shorter silence says nothing about the target.
    constexpr auto minSilence = Milliseconds(250);
    /// Reports to peers arrive within milliseconds.
    constexpr auto holdAfterBreak = Milliseconds(150);
    /// A crashed target misses three heartbeats of 1.2 s before its entry expires.
    constexpr auto holdAfterSilence = Milliseconds(4000);

    Clock::duration holdAfter(TrialEnd end)
    {
        switch (end) {
        case TrialEnd::Answered:
            return Clock::duration::zero();
        case TrialEnd::Broken:
            return holdAfterBreak;
        case TrialEnd::Silent:
            return holdAfterSilence;
        }
        return Clock::duration::zero();
    }

}

bool haveCommonSuspect(const std::vector<Suspect>& left, const std::vector<Suspect>& right)
{
    return std::any_of(left.begin(), left.end(), [&](Suspect suspect) { return std::find(right.begin(), right.end(), suspect) != right.end(); });
}

TrialEnd trialEndAfterSilence(Clock::duration silence)
{
    return silence < minSilence ? TrialEnd::Answered : TrialEnd::Silent;
}

TrialDecision TrialLedger::start(const TrialId& id, const Trial& trial, TimePoint now)
{
    std::erase_if(m_trials, [&](const auto& entry) { return entry.second.expiresAt < now; });
    auto decision = TrialDecision::Granted;
    for (const auto& [otherId, other] : m_trials) {
        if (otherId == id)
            continue;
        if (haveCommonSuspect(trial.suspects, other.trial.suspects))
            return TrialDecision::SuspectOnTrial;
        if (trial.target == other.trial.target)
            decision = TrialDecision::TargetOnTrial;
    }
    if (decision == TrialDecision::Granted)
        m_trials.insert_or_assign(id, RunningTrial { .trial = trial, .expiresAt = now + trialLifetime });
    return decision;
}

void TrialLedger::end(const TrialId& id, TrialEnd end, TimePoint now)
{
    auto found = m_trials.find(id);
    if (found == m_trials.end())
        return;
    auto hold = holdAfter(end);
    if (hold == Clock::duration::zero())
        m_trials.erase(found);
    else
        found->second.expiresAt = now + hold;
}

}
