#pragma once

#include "quarantine/brokentargets.h"
#include "quarantine/completedrequests.h"
#include "quarantine/crashcase.h"
#include "quarantine/crashguardmessages.h"
#include "targets/targetdirectory.h"

#include <functional>
#include <optional>
#include <set>

namespace guavaspan {

/// Numbers of events since the process started.
struct CrashGuardStatistics {
    std::uint64_t interruptedAnswers = 0;
    std::uint64_t countedCrashes = 0;
    /// Crashes that were known already or taken to be part of a counted incident.
    std::uint64_t uncountedCrashes = 0;
};

/// An attempt of this instance that ended without a complete answer, although the target may have run it.
struct UnansweredAttempt {
    Fingerprint fingerprint = 0;
    const TargetEntry& target;
    TimePoint sentAt;
    /// When the target last sent a part of the answer; at least sentAt.
    TimePoint lastHeardAt;
    /// The caller left or the deadline passed; otherwise the connection broke.
    bool abandoned = false;
    /// New connections to all targets of the service fail too.
    bool pathLost = false;
    /// It ran on trial, so that no other suspect was sent to the target.
    bool onTrial = false;

    /// False if only the target's end shows that it did not merely get out of reach.
    bool isEvidence() const { return !abandoned && !pathLost; }
};

/// Detects requests that crash the targets that run them, by matching unanswered attempts with targets that disappear. A crash
/// interrupts all requests that run on the target, so those that were interrupted several times run on trial until one that was sent
/// later is answered. All instances learn of all crashes: by messages, and from the shared store if they were not running then. Each
/// one decides by itself which requests to refuse.
class CrashGuard {
public:
    /// Sends a message to all peers.
    using Broadcaster = std::function<void(const CrashGuardMessage&)>;
    /// Keeps a record in the shared store. May be called again with the same record.
    using Recorder = std::function<void(const CrashRecord&)>;

    CrashGuard(Broadcaster, Recorder);

    void onUnanswered(const UnansweredAttempt&, TimePoint now);
    void onTargetUnavailable(const TargetUnavailable&);

    /// The target answered a request that was sent at this time, so it has not crashed before.
    void onTargetAnswered(const TargetEntry&, TimePoint sentAt);

    /// Records that the request, sent at this time, was answered completely, which refutes its earlier crashes.
    void onCompleted(Fingerprint, TimePoint sentAt, TimePoint now);

    void onPeerMessage(const CrashGuardMessage&, TimePoint now);
    void onStoredRecord(const CrashRecord&, TimePoint now);

    /// Repeats recent reports, since messages to peers may be lost.
    void onTick(TimePoint now);

    /// The retry delay to advise if the request must not be sent to a target.
    std::optional<Clock::duration> retryDelayIfRefused(Fingerprint, TimePoint now) const;

    /// True if the request must not be sent since a trial has just broken, which does not yet show whether the target has crashed.
    bool awaitsTrialResult(Fingerprint, TimePoint now) const;

    /// True if a target crashed while it ran the request.
    bool isSuspect(Fingerprint) const;

    /// True if the target has broken a request lately and has answered none since.
    bool mayHaveCrashed(const TargetEntry& target, TimePoint now) const { return m_brokenTargets.mayHaveCrashed(incarnationOf(target), now); }

    /// True if several targets may have crashed while they ran the request, so that it must run alone to show whether it was the cause.
    bool needsTrial(Fingerprint) const;

    /// True if an attempt that began at this time and still runs has lasted well beyond those that were interrupted.
    bool outlives(Fingerprint, TimePoint sentAt, TimePoint now) const;

    const CrashGuardStatistics& statistics() const { return m_statistics; }

private:
    /// What became of a target that takes no new requests.
    struct UnavailableTarget {
        bool announced = false;
        TimePoint at;
    };

    void removeExpired(TimePoint now);
    bool crashedBeforeRemoval(const UnansweredAttempt&, const UnavailableTarget&) const;
    void addInterruption(Fingerprint, Interruption, TimePoint now);
    void confirm(Fingerprint, const TargetIncarnation&, TimePoint now);
    bool countCrash(const CrashReport&, bool local, TimePoint now);
    void recordSuspicion(Fingerprint, TimePoint now);
    void logIfNotConvicted(Fingerprint) const;
    void convict(Fingerprint, TimePoint now);
    void acquitExplained();
    void convictIfEvident(Fingerprint, TimePoint now);
    bool isSuspended(Fingerprint) const;
    bool isRetrialPossible(Fingerprint) const;
    bool startedLastAt(Fingerprint, const TargetIncarnation&) const;
    void repeatInterruptions(Fingerprint, const CrashCase&, TimePoint now, std::vector<CrashGuardMessage>&) const;
    void onInterruptionReport(const InterruptionReport&, TimePoint now);
    void onConvictionNotice(const ConvictionNotice&, TimePoint now);
    void onPriorCompletion(const PriorCompletionNotice&, TimePoint now);
    void clear(Fingerprint, TimePoint answeredFrom, TimePoint now);

    Broadcaster m_broadcast;
    Recorder m_record;
    CrashGuardStatistics m_statistics;
    CrashCases m_cases;
    /// Incarnations with interruptions that are neither confirmed nor refuted.
    std::set<TargetIncarnation> m_unclearTargets;
    BrokenTargets m_brokenTargets;
    std::map<TargetIncarnation, UnavailableTarget> m_unavailableTargets;
    CompletedRequests m_completed;
    /// When peers were last told that an answer refutes a conviction.
    std::map<Fingerprint, TimePoint> m_notifiedAt;
    TimePoint m_nextDecision;
};

}
