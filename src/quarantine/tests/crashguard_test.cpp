#include "quarantine/crashguard.h"

#include <criterion/criterion.h>
#include <memory>

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

/// Two instances with a shared store, to whose engines one request is sent.
struct FleetFixture {
    static constexpr Fingerprint request = 7;

    TimePoint now { Seconds(100) };
    bool connected = true;
    bool storeReachable = true;
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
        guards[instance] = std::make_unique<CrashGuard>([this, instance](const QuarantineMessage& message) {
            auto& peer = guards[1 - instance];
            if (connected && peer)
                peer->onPeerMessage(message, now);
        });
    }

    static TargetEntry engine(int number) { return { .id = "engine-" + std::to_string(number), .startedAt = 1 }; }

    /// Sends the request to an engine whose connection breaks after 20 ms.
    void interrupt(std::size_t instance, int number)
    {
        now += Milliseconds(20);
        guards[instance]->onAnswerInterrupted(request, engine(number), now);
    }

    /// Sends the request to an engine that becomes silent; its caller leaves after 2 s.
    void abandon(std::size_t, int)
    {
        now += Seconds(2);
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
    }

    bool refuses(std::size_t instance) { return guards[instance]->refuses(request, now); }
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
