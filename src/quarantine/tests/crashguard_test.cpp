#include "quarantine/tests/crashguardfixtures.h"

#include <criterion/criterion.h>

using namespace guavaspan;

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
