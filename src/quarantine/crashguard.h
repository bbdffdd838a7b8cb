#pragma once

#include "quarantine/quarantineservice.h"
#include "targets/targetdirectory.h"

#include <deque>
#include <functional>

namespace guavaspan {

/// Numbers of events since the process started.
struct CrashGuardStatistics {
    std::uint64_t interruptedAnswers = 0;
    std::uint64_t countedCrashes = 0;
    /// Crashes that were known already or taken to be part of a counted incident.
    std::uint64_t uncountedCrashes = 0;
};

/// Detects requests that crash the targets that run them, by matching interrupted answers with
/// targets that disappear. Every instance receives a report of every crash, so each one decides
/// by itself which requests to refuse.
class CrashGuard {
public:
    /// Sends a message to all peers.
    using Broadcaster = std::function<void(const QuarantineMessage&)>;

    explicit CrashGuard(Broadcaster);

    /// Records that no complete answer arrived from the target, although it may have run the request.
    void onAnswerInterrupted(Fingerprint, const TargetEntry&, TimePoint now);
    void onTargetUnavailable(const TargetUnavailable&);

    /// Records that the request was answered completely, which removes its recorded crashes.
    void onCompleted(Fingerprint, TimePoint now);

    void onPeerMessage(const QuarantineMessage&, TimePoint now);

    bool refuses(Fingerprint, TimePoint now) const;

    const CrashGuardStatistics& statistics() const { return m_statistics; }

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
    CrashGuardStatistics m_statistics;
    /// Recently interrupted requests, kept until it is known whether their targets crashed.
    std::deque<InterruptedRequest> m_interrupted;
    std::map<Fingerprint, TimePoint> m_lastCrash;
};

}
