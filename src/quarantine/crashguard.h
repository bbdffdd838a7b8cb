#pragma once

#include "quarantine/quarantineservice.h"
#include "targets/targetdirectory.h"

#include <deque>
#include <functional>

namespace guavaspan {

/// Recognises requests that crash the targets which run them, from requests that broke off and
/// from targets that vanished. Every instance hears of every crash, so each can refuse by itself.
class CrashGuard {
public:
    /// Tells all peers.
    using Broadcaster = std::function<void(const QuarantineMessage&)>;

    explicit CrashGuard(Broadcaster);

    /// No whole answer came from the target, and it may have run the request.
    void onAnswerInterrupted(Fingerprint, const TargetEntry&, TimePoint now);
    void onTargetLeft(const TargetUnavailable&);

    /// The request got its whole answer.
    void onCompleted(Fingerprint, TimePoint now);

    void onPeerMessage(const QuarantineMessage&, TimePoint now);

    bool refuses(Fingerprint, TimePoint now) const;

private:
    struct InterruptedRequest {
        Fingerprint fingerprint = 0;
        std::string target;
        std::int64_t startedAt = 0;
        TimePoint at;
    };
    void removeExpired(TimePoint now);
    void onCrash(const InterruptedRequest&, TimePoint now);
    bool recordCrash(const CrashReport&, TimePoint now);
    void convictIfProven(Fingerprint, const std::string& target, TimePoint now);

    Broadcaster m_broadcast;
    Quarantine m_quarantine;
    /// Lately broken off, until it is known whether their targets crashed.
    std::deque<InterruptedRequest> m_interrupted;
    std::map<Fingerprint, TimePoint> m_lastCrash;
};

}
