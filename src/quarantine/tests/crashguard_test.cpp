#include "quarantine/crashguard.h"

#include <criterion/criterion.h>
#include <memory>
#include <set>

using namespace guavaspan;

namespace {

/// Two instances that exchange quarantine messages.
struct GuardFixture {
    TimePoint now { Seconds(100) };
    CrashGuard localGuard;
    CrashGuard peerGuard;

    GuardFixture()
        : localGuard([this](const CrashGuardMessage& message) { peerGuard.onPeerMessage(message, now); }, [](const CrashRecord&) {})
        , peerGuard([this](const CrashGuardMessage& message) { localGuard.onPeerMessage(message, now); }, [](const CrashRecord&) {})
    {
    }

    static TargetEntry engine(int number) { return { .id = "engine-" + std::to_string(number), .startedAt = 1 }; }

    /// Sends the request, on trial if it needs one, to an engine whose connection breaks.
    void interrupt(Fingerprint request, int number, Milliseconds runTime = Milliseconds(20)) { interrupt(request, number, runTime, localGuard.needsTrial(request)); }

    void interrupt(Fingerprint request, int number, Milliseconds runTime, bool onTrial)
    {
        localGuard.onUnanswered({ .fingerprint = request, .target = engine(number), .sentAt = now - runTime, .lastHeardAt = now - runTime, .onTrial = onTrial }, now);
    }

    static bool refuses(const CrashGuard& guard, Fingerprint request, TimePoint now) { return guard.retryDelayIfRefused(request, now).has_value(); }

    void crash(int number, const std::vector<Fingerprint>& running)
    {
        for (auto request : running)
            interrupt(request, number);
        now += Seconds(3);
        for (auto* guard : { &localGuard, &peerGuard })
            guard->onTargetUnavailable({ .entry = engine(number), .reason = UnavailableReason::EntryRemoved, .at = now });
    }
};

/// Two instances with a shared store, to whose engines one request is sent.
struct FleetFixture {
    static constexpr Fingerprint request = 7;

    TimePoint now { Seconds(100) };
    bool connected = true;
    bool storeReachable = true;
    std::set<CrashRecord> stored;
    std::vector<std::unique_ptr<CrashGuard>> guards;

    FleetFixture()
    {
        for (std::size_t instance : { 0, 1 }) {
            guards.emplace_back();
            restart(instance);
        }
    }

    void restart(std::size_t instance)
    {
        guards[instance] = std::make_unique<CrashGuard>([this, instance](const CrashGuardMessage& message) {
            auto& peer = guards[1 - instance];
            if (connected && peer)
                peer->onPeerMessage(message, now); }, [this](const CrashRecord& record) {
            if (storeReachable)
                stored.insert(record); });
        for (const auto& record : stored)
            guards[instance]->onStoredRecord(record, now);
    }

    static TargetEntry engine(int number) { return { .id = "engine-" + std::to_string(number), .startedAt = 1 }; }

    /// Sends the request, on trial if it needs one, to an engine whose connection breaks after 20 ms.
    void interrupt(std::size_t instance, int number)
    {
        auto sentAt = now;
        bool onTrial = guards[instance]->needsTrial(request);
        now += Milliseconds(20);
        guards[instance]->onUnanswered({ .fingerprint = request, .target = engine(number), .sentAt = sentAt, .lastHeardAt = sentAt, .onTrial = onTrial }, now);
    }

    /// Sends the request to an engine that becomes silent; its caller leaves after 2 s.
    void abandon(std::size_t instance, int number)
    {
        auto sentAt = now;
        bool onTrial = guards[instance]->needsTrial(request);
        now += Seconds(2);
        guards[instance]->onUnanswered({ .fingerprint = request, .target = engine(number), .sentAt = sentAt, .lastHeardAt = sentAt, .abandoned = true, .onTrial = onTrial }, now);
    }

    void removeEntry(int number)
    {
        for (auto& guard : guards)
            guard->onTargetUnavailable({ .entry = engine(number), .reason = UnavailableReason::EntryRemoved, .at = now });
    }

    void crash(std::size_t instance, int number)
    {
        interrupt(instance, number);
        now += Seconds(3);
        removeEntry(number);
    }

    void tick(Clock::duration duration)
    {
        now += duration;
        for (auto& guard : guards)
            guard->onTick(now);
    }

    bool refuses(std::size_t instance) { return guards[instance]->retryDelayIfRefused(request, now).has_value(); }
};

}

Test(CrashGuard, requestThatCrashedThreeEngines_isRefusedByAllInstances)
{
    GuardFixture f;
    f.crash(1, { 7, 20, 21 });
    cr_expect(!f.refuses(f.localGuard, 7, f.now));
    f.crash(2, { 7, 22 });
    cr_expect(!f.refuses(f.localGuard, 7, f.now));
    f.crash(3, { 7, 23 });
    cr_expect(f.refuses(f.localGuard, 7, f.now));
    cr_expect(f.refuses(f.peerGuard, 7, f.now), "an instance that never ran the request refuses it too");
    for (Fingerprint concurrentRequest : { 20, 21, 22, 23 })
        cr_expect(!f.refuses(f.localGuard, concurrentRequest, f.now), "the request only ran concurrently with the crashing request");
}

/// Guards against BUDGET: entries of engines that crashed one after the other are often removed at the same
/// moment, and were then counted as one crash.
Test(CrashGuard, crashesInSuccessionThatAreDetectedTogether_areCountedSeparately)
{
    FleetFixture f;
    for (int number : { 1, 2, 3 }) {
        f.interrupt(0, number);
        f.now += Milliseconds(300);
    }
    f.now += Seconds(3);
    for (int number : { 1, 2, 3 })
        f.removeEntry(number);
    cr_expect(f.refuses(0));
    cr_expect(f.refuses(1));
}

/// Guards against BUDGET: an instance that restarted had no record of crashes and sent the request again.
Test(CrashGuard, restartOfAllInstances_requestIsStillRefused)
{
    FleetFixture f;
    for (int number : { 1, 2, 3 })
        f.crash(0, number);
    for (int instance : { 0, 1 })
        f.restart(instance);
    cr_expect(f.refuses(0));
    cr_expect(f.refuses(1));
}

Test(CrashGuard, instancesRestartInTurnBetweenCrashes_requestIsRefusedAfterTheThird)
{
    for (std::size_t first : { 0, 1 }) {
        FleetFixture f;
        for (int number : { 1, 2, 3 }) {
            cr_expect(!f.refuses(0) && !f.refuses(1));
            auto instance = (first + static_cast<std::size_t>(number)) % 2;
            f.crash(instance, number);
            f.tick(Milliseconds(700));
            f.restart(instance);
            f.tick(Milliseconds(700));
        }
        f.tick(Seconds(2));
        cr_expect(f.refuses(0));
        cr_expect(f.refuses(1));
    }
}

/// Guards against BUDGET: a crash was forgotten when all instances restarted before the next one.
Test(CrashGuard, allInstancesRestartBetweenCrashes_requestIsRefusedAfterTheThird)
{
    FleetFixture f;
    for (int number : { 1, 2, 3 }) {
        f.crash(0, number);
        f.tick(Milliseconds(700));
        for (std::size_t instance : { 0, 1 })
            f.restart(instance);
        f.tick(Milliseconds(700));
    }
    f.tick(Seconds(2));
    cr_expect(f.refuses(0));
    cr_expect(f.refuses(1));
}

/// Guards against BUDGET: a crash report that is lost in the network was never sent again.
Test(CrashGuard, instanceThatMissedAllReports_refusesRequestSoonAfter)
{
    FleetFixture f;
    f.connected = false;
    f.storeReachable = false;
    for (int number : { 1, 2, 3 })
        f.crash(0, number);
    f.connected = true;
    f.tick(Seconds(2));
    cr_expect(f.refuses(1));
}

/// Guards against BUDGET: while entries are not removed, as during an outage of the store, no crash was counted.
Test(CrashGuard, threeInterruptionsInSuccession_areRefusedBeforeEntriesAreRemoved)
{
    FleetFixture f;
    for (int number : { 1, 2, 3 }) {
        f.interrupt(number % 2, number);
        f.now += Milliseconds(500);
    }
    cr_expect(f.refuses(0));
    cr_expect(f.refuses(1));
}

/// Guards against BUDGET: callers leave a silent engine before its connection is known to be broken, which counted nothing.
Test(CrashGuard, callersThatLeaveSilentEngines_countAsCrashesOnceEntriesAreRemoved)
{
    FleetFixture f;
    for (int number : { 1, 2, 3 }) {
        f.abandon(0, number);
        f.now += Milliseconds(500);
        f.removeEntry(number);
    }
    cr_expect(f.refuses(0));
}

/// Many callers send the same request, so it is running on most engines whenever one crashes.
Test(CrashGuard, commonRequestThatAlsoCompletes_isNotConvicted)
{
    GuardFixture f;
    for (int engine = 1; engine <= 6; ++engine) {
        f.crash(engine, { 5 });
        f.peerGuard.onCompleted(5, f.now, f.now);
    }
    cr_expect(!f.refuses(f.localGuard, 5, f.now));
    cr_expect(!f.refuses(f.peerGuard, 5, f.now));
}

Test(CrashGuard, engineThatAnnouncedItsShutdown_addsNoCrash)
{
    GuardFixture f;
    for (int number : { 1, 2, 3 }) {
        f.interrupt(7, number);
        f.localGuard.onTargetUnavailable({ .entry = f.engine(number), .reason = UnavailableReason::Announced, .at = f.now });
    }
    cr_expect(!f.refuses(f.localGuard, 7, f.now));
}

Test(CrashGuard, interruptedAnswersOfHealthyEngines_addNoCrash)
{
    GuardFixture f;
    for (int number : { 1, 2, 3 })
        f.interrupt(7, number);
    f.now += Seconds(20);
    f.localGuard.onTargetUnavailable({ .entry = f.engine(1), .reason = UnavailableReason::EntryRemoved, .at = f.now });
    cr_expect(!f.refuses(f.localGuard, 7, f.now));
}

Test(CrashGuard, answerInterruptedAfterEntryRemoval_addsNoCrash)
{
    GuardFixture f;
    for (int number : { 1, 2, 3, 4 }) {
        f.localGuard.onTargetUnavailable({ .entry = f.engine(number), .reason = UnavailableReason::EntryRemoved, .at = f.now });
        f.now += Seconds(2);
        f.interrupt(7, number);
    }
    f.now += Seconds(3);
    cr_expect(!f.refuses(f.localGuard, 7, f.now));
}

/// A request that many callers send is running on several engines when they crash together.
Test(CrashGuard, enginesThatCrashTogether_countOnce)
{
    GuardFixture f;
    for (int number : { 1, 2, 3, 4 })
        f.interrupt(7, number, Milliseconds(20), false);
    f.now += Seconds(3);
    for (int number : { 1, 2, 3, 4 })
        f.localGuard.onTargetUnavailable({ .entry = f.engine(number), .reason = UnavailableReason::EntryRemoved, .at = f.now });
    cr_expect(!f.refuses(f.localGuard, 7, f.now));
    cr_expect(!f.refuses(f.peerGuard, 7, f.now));
}

Test(CrashGuard, interruptedEnginesThatAnswerLaterRequests_areNotSuspected)
{
    FleetFixture f;
    for (int number : { 1, 2, 3 }) {
        f.interrupt(0, number);
        f.now += Milliseconds(100);
    }
    cr_expect(f.refuses(0));
    for (int number : { 1, 2, 3 })
        f.guards[0]->onTargetAnswered(f.engine(number), f.now);
    cr_expect(!f.refuses(0));
    f.removeEntry(1);
    cr_expect(!f.refuses(0));
}

Test(CrashGuard, suspendedRequestWhoseEnginesStay_isAdmittedAgain)
{
    FleetFixture f;
    for (int number : { 1, 2, 3 }) {
        f.interrupt(0, number);
        f.now += Milliseconds(100);
    }
    cr_expect(f.refuses(0));
    f.tick(Seconds(31));
    cr_expect(!f.refuses(0));
}

Test(CrashGuard, callersThatLeaveWorkingEngines_addNoCrash)
{
    FleetFixture f;
    for (int number : { 1, 2, 3 }) {
        f.guards[0]->onUnanswered({ .fingerprint = f.request, .target = f.engine(number), .sentAt = f.now, .lastHeardAt = f.now + Seconds(1), .abandoned = true }, f.now + Milliseconds(1100));
        f.now += Seconds(3);
        f.removeEntry(number);
    }
    cr_expect(!f.refuses(0));
}

/// The connection to a silent engine is closed by keep-alive probes, which may take longer than the entry lasts.
Test(CrashGuard, silentEngineWhoseEntryIsRemovedFirst_countsAsCrash)
{
    FleetFixture f;
    for (int number : { 1, 2, 3 }) {
        auto sentAt = f.now;
        bool onTrial = f.guards[0]->needsTrial(f.request);
        f.now += Seconds(3);
        f.removeEntry(number);
        f.now += Seconds(1);
        f.guards[0]->onUnanswered({ .fingerprint = f.request, .target = f.engine(number), .sentAt = sentAt, .lastHeardAt = sentAt, .onTrial = onTrial }, f.now);
    }
    cr_expect(f.refuses(0));
    cr_expect(f.refuses(1));
}

/// The users allow three further runs after the third crash. Trials keep the two apart from the third crash on.
Test(CrashGuard, requestsThatCrashedTogether_areRefusedOnceEachHasCrashedATargetAlone)
{
    GuardFixture f;
    for (int number : { 1, 2 })
        f.crash(number, { 7, 8 });
    cr_expect(!f.refuses(f.localGuard, 7, f.now) && !f.refuses(f.localGuard, 8, f.now));
    f.crash(3, { 7 });
    for (auto* guard : { &f.localGuard, &f.peerGuard }) {
        cr_expect(f.refuses(*guard, 7, f.now));
        cr_expect(!f.refuses(*guard, 8, f.now), "the other one explains the crashes");
        cr_expect(guard->needsTrial(8));
    }
    f.crash(4, { 8 });
    for (auto* guard : { &f.localGuard, &f.peerGuard }) {
        cr_expect(f.refuses(*guard, 7, f.now));
        cr_expect(f.refuses(*guard, 8, f.now));
    }
}

/// After all instances have restarted, none knows which requests were answered before. A popular one runs on each engine
/// that a crashing one ends, until both run on trial.
Test(CrashGuard, popularRequestBesideCrashingOne_withoutEarlierAnswers_isNotRefused)
{
    GuardFixture f;
    constexpr Fingerprint crashing = 7;
    constexpr Fingerprint popular = 8;
    auto removeEntry = [&](int number) {
        f.now += Milliseconds(700);
        for (auto* guard : { &f.localGuard, &f.peerGuard }) {
            cr_expect(!f.refuses(*guard, popular, f.now));
            guard->onTargetUnavailable({ .entry = f.engine(number), .reason = UnavailableReason::EntryRemoved, .at = f.now });
            cr_expect(!f.refuses(*guard, popular, f.now));
        }
    };
    for (int number : { 1, 2 }) {
        f.interrupt(crashing, number, Milliseconds(20));
        f.interrupt(popular, number, Milliseconds(15));
        removeEntry(number);
    }
    for (int number : { 3, 4, 5 }) {
        f.interrupt(crashing, number, Milliseconds(20));
        removeEntry(number);
        cr_expect(f.refuses(f.localGuard, crashing, f.now));
    }
    f.peerGuard.onCompleted(popular, f.now, f.now);
    for (auto* guard : { &f.localGuard, &f.peerGuard }) {
        cr_expect(f.refuses(*guard, crashing, f.now));
        cr_expect(!f.refuses(*guard, popular, f.now));
        cr_expect(!guard->needsTrial(popular));
    }
}

/// Guards against LOST: crashes of a request's neighbours were taken for its own, however many there were.
Test(CrashGuard, requestInterruptedManyTimesButNeverAlone_isNotRefused)
{
    GuardFixture f;
    for (int number = 1; number <= 6; ++number) {
        f.localGuard.onUnanswered({ .fingerprint = 8, .target = f.engine(number), .sentAt = f.now - Seconds(2), .lastHeardAt = f.now - Seconds(2) }, f.now);
        f.now += Milliseconds(1500);
        for (auto* guard : { &f.localGuard, &f.peerGuard })
            guard->onTargetUnavailable({ .entry = f.engine(number), .reason = UnavailableReason::EntryRemoved, .at = f.now });
    }
    for (auto* guard : { &f.localGuard, &f.peerGuard }) {
        cr_expect(!f.refuses(*guard, 8, f.now));
        cr_expect(guard->needsTrial(8));
    }
}

/// An instance that starts has no answers of its own; its peers tell it.
Test(CrashGuard, storedConvictionOfRequestThatPeersAnswer_isLifted)
{
    FleetFixture f;
    f.stored.insert(ConvictionNotice { .fingerprint = f.request });
    f.guards[1]->onCompleted(f.request, f.now, f.now);
    f.restart(0);
    cr_expect(f.refuses(0));
    f.tick(Seconds(1));
    cr_expect(!f.refuses(0));
    cr_expect(!f.refuses(1));
}

/// Callers of a popular request are interrupted by every crash, whichever request causes it.
Test(CrashGuard, popularRequestThatIsAnsweredAfterEachCrash_isNotConvictedByCrashesInSuccession)
{
    FleetFixture f;
    for (int number = 1; number <= 20; ++number) {
        f.crash(0, number);
        cr_expect(!f.refuses(0) && !f.refuses(1));
        f.now += Milliseconds(10);
        f.guards[1]->onCompleted(f.request, f.now - Milliseconds(5), f.now);
        cr_expect(!f.guards[0]->needsTrial(f.request), "the peer that answered it tells so");
    }
    cr_expect(!f.refuses(0) && !f.refuses(1));
}

/// Guards against BUDGET: a request that was answered before it began to crash targets was sent until it had ended ten.
Test(CrashGuard, requestThatWasAnsweredBeforeTheFirstCrash_isRefusedAfterTheThird)
{
    FleetFixture f;
    for (std::size_t instance : { 0, 1 })
        f.guards[instance]->onCompleted(f.request, f.now - Milliseconds(15), f.now);
    f.now += Seconds(5);
    for (int number : { 1, 2, 3 }) {
        cr_expect(!f.refuses(0) && !f.refuses(1));
        f.crash(0, number);
    }
    f.tick(Seconds(1));
    cr_expect(f.refuses(0));
    cr_expect(f.refuses(1));
}

/// Guards against BUDGET: an answer that had been sent before the crash refuted it.
Test(CrashGuard, answerToRequestThatWasSentBeforeTheCrashes_refutesNothing)
{
    FleetFixture f;
    auto sentBefore = f.now;
    for (int number : { 1, 2, 3 })
        f.crash(0, number);
    f.guards[1]->onCompleted(f.request, sentBefore, f.now);
    cr_expect(f.refuses(0));
    cr_expect(f.refuses(1));
}

/// Guards against BUDGET: a peer that had only answered the request before lifted the conviction of all.
Test(CrashGuard, convictionThatAPeerLearnsFromTheStore_isNotLiftedByEarlierAnswers)
{
    FleetFixture f;
    f.guards[1]->onCompleted(f.request, f.now - Milliseconds(15), f.now);
    f.connected = false;
    for (int number : { 1, 2, 3 })
        f.crash(0, number);
    f.connected = true;
    f.tick(Seconds(1));
    cr_expect(f.refuses(0), "it knows crashes that are later than the answer");
}

Test(CrashGuard, convictedRequestThatIsAnsweredAfterAll_isAdmittedByAllInstances)
{
    FleetFixture f;
    for (int number : { 1, 2, 3 })
        f.crash(0, number);
    cr_expect(f.refuses(1));
    f.guards[0]->onCompleted(f.request, f.now, f.now);
    cr_expect(!f.refuses(0));
    cr_expect(!f.refuses(1));
}

/// Guards against BUDGET: engines that a request ended one after the other looked like a lost path, which dropped the evidence.
Test(CrashGuard, interruptionsWhilePathIsLost_countOnceEntriesAreRemoved)
{
    FleetFixture f;
    for (int number : { 1, 2, 3 }) {
        auto sentAt = f.now;
        f.now += Milliseconds(90);
        f.guards[0]->onUnanswered({ .fingerprint = f.request, .target = f.engine(number), .sentAt = sentAt, .lastHeardAt = sentAt, .pathLost = true }, f.now);
        f.now += Milliseconds(100);
    }
    cr_expect(!f.guards[0]->needsTrial(f.request), "the path may be lost");
    f.now += Seconds(3);
    for (int number : { 1, 2, 3 })
        f.removeEntry(number);
    cr_expect(f.guards[0]->needsTrial(f.request));
    f.interrupt(0, 4);
    cr_expect(f.refuses(0));
    cr_expect(f.refuses(1));
}

/// Guards against LOST: once the requests that a crash had interrupted were answered elsewhere, the crashed target was taken for a
/// working one, and the next request that broke there got the blame.
Test(CrashGuard, requestsThatATargetBrokeAreAnsweredElsewhere_targetMayStillHaveCrashed)
{
    GuardFixture f;
    f.interrupt(20, 1);
    f.now += Milliseconds(50);
    f.peerGuard.onCompleted(20, f.now - Milliseconds(10), f.now);
    for (auto* guard : { &f.localGuard, &f.peerGuard }) {
        cr_expect(!guard->isSuspect(20));
        cr_expect(guard->mayHaveCrashed(f.engine(1), f.now));
    }
    f.interrupt(8, 1);
    f.interrupt(8, 2);
    cr_expect(!f.localGuard.needsTrial(8), "it was sent to the first target after that had crashed");
    f.now += Milliseconds(50);
    f.localGuard.onTargetAnswered(f.engine(1), f.now);
    cr_expect(!f.localGuard.mayHaveCrashed(f.engine(1), f.now));
}
