#include "quarantine/crashguard.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// Two instances that exchange quarantine messages.
struct GuardFixture {
    TimePoint now { Seconds(100) };
    bool connected = true;
    CrashGuard localGuard;
    CrashGuard peerGuard;

    GuardFixture()
        : localGuard([this](const QuarantineMessage& message) {
            if (connected)
                peerGuard.onPeerMessage(message, now);
        })
        , peerGuard([this](const QuarantineMessage& message) {
            if (connected)
                localGuard.onPeerMessage(message, now);
        })
    {
    }

    static TargetEntry engine(int number) { return { .id = "engine-" + std::to_string(number), .startedAt = 1 }; }

    void crash(int number, const std::vector<Fingerprint>& running)
    {
        for (auto request : running)
            localGuard.onAnswerInterrupted(request, engine(number), now);
        now += Seconds(3);
        for (auto* guard : { &localGuard, &peerGuard })
            guard->onTargetUnavailable({ .entry = engine(number), .reason = UnavailableReason::EntryRemoved, .at = now });
    }
};

}

Test(CrashGuard, requestThatCrashedThreeEngines_isRefusedByAllInstances)
{
    GuardFixture f;
    f.crash(1, { 7, 20, 21 });
    cr_expect(!f.localGuard.refuses(7, f.now));
    f.crash(2, { 7, 22 });
    cr_expect(!f.localGuard.refuses(7, f.now));
    f.crash(3, { 7, 23 });
    cr_expect(f.localGuard.refuses(7, f.now));
    cr_expect(f.peerGuard.refuses(7, f.now), "an instance that never ran the request refuses it too");
    for (Fingerprint concurrentRequest : { 20, 21, 22, 23 })
        cr_expect(!f.localGuard.refuses(concurrentRequest, f.now), "the request only ran concurrently with the crashing request");
}

/// Many callers send the same request, so it is running on most engines whenever one crashes.
Test(CrashGuard, commonRequestThatAlsoCompletes_isNotConvicted)
{
    GuardFixture f;
    for (int engine = 1; engine <= 6; ++engine) {
        f.crash(engine, { 5 });
        f.peerGuard.onCompleted(5, f.now);
    }
    cr_expect(!f.localGuard.refuses(5, f.now));
    cr_expect(!f.peerGuard.refuses(5, f.now));
}

Test(CrashGuard, engineThatAnnouncedItsShutdown_addsNoCrash)
{
    GuardFixture f;
    for (int number : { 1, 2, 3 }) {
        f.localGuard.onAnswerInterrupted(7, f.engine(number), f.now);
        f.localGuard.onTargetUnavailable({ .entry = f.engine(number), .reason = UnavailableReason::Announced, .at = f.now });
    }
    cr_expect(!f.localGuard.refuses(7, f.now));
}

Test(CrashGuard, interruptedAnswersOfHealthyEngines_addNoCrash)
{
    GuardFixture f;
    for (int number : { 1, 2, 3 })
        f.localGuard.onAnswerInterrupted(7, f.engine(number), f.now);
    f.now += Seconds(20);
    f.localGuard.onTargetUnavailable({ .entry = f.engine(1), .reason = UnavailableReason::EntryRemoved, .at = f.now });
    cr_expect(!f.localGuard.refuses(7, f.now));
}

Test(CrashGuard, answerInterruptedAfterEntryRemoval_addsNoCrash)
{
    GuardFixture f;
    for (int number : { 1, 2, 3, 4 }) {
        f.localGuard.onTargetUnavailable({ .entry = f.engine(number), .reason = UnavailableReason::EntryRemoved, .at = f.now });
        f.now += Seconds(2);
        f.localGuard.onAnswerInterrupted(7, f.engine(number), f.now);
    }
    f.now += Seconds(3);
    cr_expect(!f.localGuard.refuses(7, f.now));
}

/// A request that many callers send is running on several engines when they crash together.
Test(CrashGuard, enginesThatCrashTogether_countOnce)
{
    GuardFixture f;
    for (int number : { 1, 2, 3, 4 })
        f.localGuard.onAnswerInterrupted(7, f.engine(number), f.now);
    f.now += Seconds(3);
    for (int number : { 1, 2, 3, 4 })
        f.localGuard.onTargetUnavailable({ .entry = f.engine(number), .reason = UnavailableReason::EntryRemoved, .at = f.now });
    cr_expect(!f.localGuard.refuses(7, f.now));
    cr_expect(!f.peerGuard.refuses(7, f.now));
}
