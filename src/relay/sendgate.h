#pragma once

#include "dispatch/dispatcher.h"
#include "quarantine/crashguard.h"
#include "quarantine/itrials.h"
#include "quarantine/promptguard.h"
#include "targets/targetlimits.h"

namespace guavaspan {

/// Parts of the instance that SendGate uses.
struct SendGateContext {
    CrashGuard& crashGuard;
    PromptGuard& promptGuard;
    ITrials& trials;
    TargetLimits& targetLimits;
    TargetDirectory& directory;
    Dispatcher& dispatcher;
};

/// Why a request must not be sent to any target now, and when to retry it.
struct SendRefusal {
    const char* reason = "";
    Clock::duration retryAfter {};
};

/// Decides for one request whether and to which targets it may be sent, before each attempt. A request that is suspected of
/// crashing targets is sent on trial only.
class SendGate {
public:
    SendGate(SendGateContext, std::string service, Fingerprint, std::vector<PromptPart>, Clock::duration latencyObjective);

    /// Checked before each placement.
    std::optional<SendRefusal> refusal();

    /// The refusal of a request that crashes targets, whichever takes it.
    std::optional<SendRefusal> crashRefusal() const;

    /// The refusal of a request whose targets are all in evacuated failure domains.
    std::optional<SendRefusal> evacuationRefusal() const;

    /// Targets that the request must not be placed on.
    std::set<std::string> excludedTargets();

    /// True if the next send has to be a trial.
    bool needsTrial() const { return !suspects().empty(); }

    /// Starts the trial of the next send; `number` is unique in this process. False if the request has to be placed again after
    /// trialRetryInterval, since others are on trial.
    Awaitable<bool> startTrial(std::uint64_t number, const TargetEntry&);

    bool onTrial() const { return m_trial.has_value(); }
    void endTrial(TrialEnd);

    static constexpr auto trialRetryInterval = Milliseconds(30);

    /// Claims one send to a target. False if the request has to be placed again, since what allowed the
    /// placement changed while it waited.
    bool tryClaim(const TargetEntry&);

    /// The request was sent to this target, which did not answer it.
    void exclude(const std::string& target) { m_triedTargets.insert(target); }

private:
    std::optional<Clock::duration> waitIfAllLimited(TimePoint now);
    std::vector<Suspect> suspects() const;
    bool mayHaveCrashed(const TargetEntry&) const;

    SendGateContext m_context;
    std::string m_service;
    Fingerprint m_fingerprint;
    std::vector<PromptPart> m_promptParts;
    Clock::duration m_maxTrialWait;
    std::set<std::string> m_triedTargets;
    int m_limitConflicts = 0;
    /// The number of the trial that runs.
    std::optional<std::uint64_t> m_trial;
    /// Another suspect is on trial there.
    std::optional<std::string> m_targetOnTrial;
    std::optional<TimePoint> m_waitsForTrialSince;
    /// The trial ends with this object.
    std::shared_ptr<const bool> m_lifetime = std::make_shared<const bool>(true);
};

}
