#include "quarantine/crashguard.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// Two instances that hear each other.
struct GuardFixture {
    TimePoint now { Seconds(100) };
    bool linked = true;
    CrashGuard here;
    CrashGuard there;

    GuardFixture()
        : here([this](const QuarantineMessage& message) {
            if (linked)
                there.onPeerNews(message, now);
        })
        , there([this](const QuarantineMessage& message) {
            if (linked)
                here.onPeerNews(message, now);
        })
    {
    }

    static TargetEntry engine(int number) { return { .id = "engine-" + std::to_string(number), .startedAt = 1 }; }

    void crash(int number, const std::vector<Fingerprint>& running)
    {
        for (auto request : running)
            here.onBrokenOff(request, engine(number), now);
        now += Seconds(3);
        for (auto* guard : { &here, &there })
            guard->onTargetLeft({ .entry = engine(number), .reason = UnavailableReason::EntryRemoved, .at = now });
    }
};

}

Test(CrashGuard, requestThatCrashedThreeEngines_isRefusedByAllInstances)
{
    GuardFixture f;
    f.crash(1, { 7, 20, 21 });
    cr_expect(!f.here.refuses(7, f.now));
    f.crash(2, { 7, 22 });
    cr_expect(!f.here.refuses(7, f.now));
    f.crash(3, { 7, 23 });
    cr_expect(f.here.refuses(7, f.now));
    cr_expect(f.there.refuses(7, f.now), "also where it never ran");
    for (Fingerprint neighbour : { 20, 21, 22, 23 })
        cr_expect(!f.here.refuses(neighbour, f.now), "it only ran beside it");
}

/// Many callers want the same: it runs on most engines whenever one crashes.
Test(CrashGuard, commonRequestThatAlsoEndsWell_isNotConvicted)
{
    GuardFixture f;
    for (int engine = 1; engine <= 6; ++engine) {
        f.crash(engine, { 5 });
        f.there.onCompleted(5, f.now);
    }
    cr_expect(!f.here.refuses(5, f.now));
    cr_expect(!f.there.refuses(5, f.now));
}

Test(CrashGuard, engineThatAnnouncedItsLeave_accusesNobody)
{
    GuardFixture f;
    for (int number : { 1, 2, 3 }) {
        f.here.onBrokenOff(7, f.engine(number), f.now);
        f.here.onTargetLeft({ .entry = f.engine(number), .reason = UnavailableReason::Announced, .at = f.now });
    }
    cr_expect(!f.here.refuses(7, f.now));
}

Test(CrashGuard, answersThatBreakAtSoundEngines_accuseNobody)
{
    GuardFixture f;
    for (int number : { 1, 2, 3 })
        f.here.onBrokenOff(7, f.engine(number), f.now);
    f.now += Seconds(20);
    f.here.onTargetLeft({ .entry = f.engine(1), .reason = UnavailableReason::EntryRemoved, .at = f.now });
    cr_expect(!f.here.refuses(7, f.now));
}

Test(CrashGuard, enginesThatWereReclaimed_accuseNobody)
{
    GuardFixture f;
    for (int number : { 1, 2, 3, 4 }) {
        f.here.onTargetLeft({ .entry = f.engine(number), .reason = UnavailableReason::EntryRemoved, .at = f.now });
        f.now += Seconds(2);
        f.here.onBrokenOff(7, f.engine(number), f.now);
    }
    f.now += Seconds(3);
    cr_expect(!f.here.refuses(7, f.now));
}

/// A request that many callers send runs on several engines when these crash together.
Test(CrashGuard, enginesThatCrashTogether_countOnce)
{
    GuardFixture f;
    for (int number : { 1, 2, 3, 4 })
        f.here.onBrokenOff(7, f.engine(number), f.now);
    f.now += Seconds(3);
    for (int number : { 1, 2, 3, 4 })
        f.here.onTargetLeft({ .entry = f.engine(number), .reason = UnavailableReason::EntryRemoved, .at = f.now });
    cr_expect(!f.here.refuses(7, f.now));
    cr_expect(!f.there.refuses(7, f.now));
}
