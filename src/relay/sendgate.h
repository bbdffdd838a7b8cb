#pragma once

#include "dispatch/dispatcher.h"
#include "quarantine/crashguard.h"
#include "quarantine/promptguard.h"
#include "targets/targetlimits.h"

namespace guavaspan {

/// Parts of the instance that SendGate uses.
struct SendGateContext {
    CrashGuard& crashGuard;
    PromptGuard& promptGuard;
    TargetLimits& targetLimits;
    TargetDirectory& directory;
    Dispatcher& dispatcher;
};

/// Why a request must not be sent to any target now, and when to retry it.
struct SendRefusal {
    const char* reason = "";
    Clock::duration retryAfter {};
};

/// Decides for one request whether and to which targets it may be sent, before each attempt.
class SendGate {
public:
    SendGate(SendGateContext, std::string service, Fingerprint, std::vector<PromptPart>);

    /// Checked before each placement.
    std::optional<SendRefusal> refusal();

    /// The refusal of a request that crashes targets, whichever takes it.
    std::optional<SendRefusal> crashRefusal() const;

    /// Targets that the request must not be placed on.
    std::set<std::string> excludedTargets();

    /// Claims one send to a target. False if the request has to be placed again, since what allowed the
    /// placement changed while it waited.
    bool tryClaim(const TargetEntry&);

    /// The request was sent to this target, which did not answer it.
    void exclude(const std::string& target) { m_triedTargets.insert(target); }

private:
    std::optional<Clock::duration> waitIfAllLimited(TimePoint now);

    SendGateContext m_context;
    std::string m_service;
    Fingerprint m_fingerprint;
    std::vector<PromptPart> m_promptParts;
    std::set<std::string> m_triedTargets;
    int m_limitConflicts = 0;
};

}
