#include "quarantine/tests/crashguardfixtures.h"

#include <criterion/criterion.h>

using namespace guavaspan;

/// Guards against a popular request that is refused for ten seconds in place of the crashing one, of which a crash was not counted because
/// its target had broken another request just before.
Test(CrashGuard, requestOnTrialBesideOneThatIsConvictedLater_isAcquitted)
{
    GuardFixture f;
    constexpr Fingerprint crashing = 7;
    constexpr Fingerprint popular = 8;
    f.crash(1, { popular });
    f.crash(2, { popular, crashing });
    f.crash(3, { popular, crashing });
    cr_expect(f.refuses(f.localGuard, popular, f.now), "on trial, beside a request that was not suspected yet");
    f.crash(4, { crashing });
    for (auto* guard : { &f.localGuard, &f.peerGuard }) {
        cr_expect(f.refuses(*guard, crashing, f.now));
        cr_expect(!f.refuses(*guard, popular, f.now));
        cr_expect(guard->needsTrial(popular));
    }
    f.now += Seconds(1);
    for (auto* guard : { &f.localGuard, &f.peerGuard })
        guard->onTick(f.now);
    cr_expect(!f.refuses(f.localGuard, popular, f.now) && !f.refuses(f.peerGuard, popular, f.now), "repeated messages change nothing");
    cr_expect(f.refuses(f.localGuard, crashing, f.now));
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

/// Guards against LOST: instances that asked different owners tried two suspects on one target, and both got the blame for its crash.
Test(CrashGuard, twoSuspectsOnTrialAtOneTarget_crashProvesNothing)
{
    GuardFixture f;
    for (int number : { 1, 2, 3 })
        f.crash(number, { 7, 8 });
    for (auto* guard : { &f.localGuard, &f.peerGuard })
        cr_expect(!f.refuses(*guard, 7, f.now) && !f.refuses(*guard, 8, f.now));
    f.crash(4, { 7 });
    for (auto* guard : { &f.localGuard, &f.peerGuard }) {
        cr_expect(f.refuses(*guard, 7, f.now));
        cr_expect(!f.refuses(*guard, 8, f.now));
    }
}

/// Guards against LOST: a sound request whose trial met the end of its target for another cause was refused for six hours.
Test(CrashGuard, convictionThatRestsOnOneTrial_allowsAnotherTrialAfterAWhile)
{
    GuardFixture f;
    for (int number : { 1, 2, 3 })
        f.crash(number, { 7 });
    for (auto* guard : { &f.localGuard, &f.peerGuard }) {
        cr_expect(f.refuses(*guard, 7, f.now + Seconds(9)));
        cr_expect(!f.refuses(*guard, 7, f.now + Seconds(11)));
        cr_expect(guard->needsTrial(7));
    }
    f.now += Seconds(11);
    f.peerGuard.onCompleted(7, f.now, f.now);
    for (auto* guard : { &f.localGuard, &f.peerGuard })
        cr_expect(!f.refuses(*guard, 7, f.now) && !guard->needsTrial(7));
}

/// Guards against BUDGET: the trial after a conviction must be the last one.
Test(CrashGuard, secondTrialCrashesItsTarget_requestIsRefusedForGood)
{
    GuardFixture f;
    for (int number : { 1, 2, 3 })
        f.crash(number, { 7 });
    f.now += Seconds(11);
    f.interrupt(7, 4);
    for (auto* guard : { &f.localGuard, &f.peerGuard }) {
        cr_expect(f.refuses(*guard, 7, f.now), "at once, before the crash is confirmed");
        f.now += Seconds(3);
        guard->onTargetUnavailable({ .entry = f.engine(4), .reason = UnavailableReason::EntryRemoved, .at = f.now });
        cr_expect(f.refuses(*guard, 7, f.now + std::chrono::minutes(20)));
    }
}
