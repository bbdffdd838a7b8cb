#include "targets/targetlimits.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

constexpr double tolerated = 31;

/// One instance alone in its fleet, and a service whose cold targets tolerate 31 requests per second.
struct ColdTargetsFixture {
    ColdTargetsFixture()
    {
        limits.setColdServices({ { "model", tolerated } }, now);
        limits.onColdSharers(ColdSharers { .instances = { "self" } }, now);
    }

    static TargetEntry entry(int remainingMs, std::int64_t sequence, std::int64_t startedAt = 1, const char* service = "model")
    {
        return { .id = "engine-1", .service = service, .startedAt = startedAt, .warmUpRemaining = Milliseconds(remainingMs), .sequence = sequence };
    }

    bool isLimited() { return limits.coldTargets(now) > 0; }

    TimePoint now { Seconds(100) };
    TargetLimits limits { "self", { .overrun = 1.5, .slack = 5 } };
};

enum class Source {
    Entry,
    Answer,
};

struct Statement {
    Source source;
    int atMs;
    int remainingMs;
    std::int64_t sequence;
    std::int64_t startedAt = 1;
};

}

/// Guards against an overloaded cold target: the limit follows an outdated source, so that a cold target gets too much, or a warm one too little.
Test(ColdTargets, entriesAndAnswers_theMoreRecentSourceWins)
{
    struct Case {
        const char* what;
        std::vector<Statement> statements;
        int atMs;
        bool limited;
    };
    const Case cases[] {
        { "entry states it", { { Source::Entry, 0, 3000, 1 } }, 2900, true },
        { "time stated by an entry has passed", { { Source::Entry, 0, 3000, 1 } }, 3000, false },
        { "entry denies it", { { Source::Entry, 0, 0, 1 } }, 0, false },
        { "answer states it", { { Source::Answer, 0, 3000, 1 } }, 2900, true },
        { "answer ends it", { { Source::Entry, 0, 3000, 1 }, { Source::Answer, 500, 0, 1 } }, 600, false },
        { "entry ends it", { { Source::Entry, 0, 3000, 1 }, { Source::Entry, 500, 0, 2 } }, 600, false },
        { "becomes cold again by an entry", { { Source::Entry, 0, 500, 1 }, { Source::Entry, 1000, 3000, 2 } }, 1100, true },
        { "becomes cold again by an answer", { { Source::Entry, 0, 0, 1 }, { Source::Answer, 1000, 3000, 1 } }, 1100, true },
        { "earlier entry arrives late", { { Source::Entry, 0, 0, 3 }, { Source::Answer, 100, 3000, 3 }, { Source::Entry, 200, 0, 2 } }, 300, true },
        { "entry that may precede the answer", { { Source::Answer, 0, 9000, 3 }, { Source::Entry, 500, 0, 4 } }, 600, true },
        { "entry some time after the answer", { { Source::Answer, 0, 9000, 3 }, { Source::Entry, 2500, 0, 4 } }, 2600, false },
        { "answer of the earlier incarnation", { { Source::Entry, 0, 3000, 1, 2 }, { Source::Answer, 100, 0, 9, 1 } }, 200, true },
        { "entry of a new incarnation", { { Source::Answer, 0, 9000, 7, 1 }, { Source::Entry, 100, 0, 1, 2 } }, 200, false },
    };
    for (const auto& testCase : cases) {
        ColdTargetsFixture f;
        auto begin = f.now;
        for (const auto& statement : testCase.statements) {
            auto at = begin + Milliseconds(statement.atMs);
            auto target = ColdTargetsFixture::entry(statement.remainingMs, statement.sequence, statement.startedAt);
            if (statement.source == Source::Entry)
                f.limits.onEntry(target, at);
            else
                f.limits.onWarmUpAnswer(target, Milliseconds(statement.remainingMs), at);
        }
        f.now = begin + Milliseconds(testCase.atMs);
        cr_expect(f.isLimited() == testCase.limited, "%s", testCase.what);
    }
}

/// Guards against an overloaded cold target: of several limits of a target the one with more requests applies.
Test(ColdTargets, severalLimits_theStricterApplies)
{
    struct Case {
        bool cold;
        std::optional<double> stated;
        double perSecond;
    };
    for (const auto& testCase : { Case { true, std::nullopt, 31 }, Case { true, 4.0, 4 }, Case { true, 100.0, 31 }, Case { false, 4.0, 4 } }) {
        ColdTargetsFixture f;
        f.limits.onInstances({}, f.now);
        auto target = ColdTargetsFixture::entry(testCase.cold ? 20000 : 0, 1);
        f.limits.onEntry(target, f.now);
        int sent = 0;
        for (auto end = f.now + Seconds(10); f.now < end; f.now += Milliseconds(1)) {
            if (!f.limits.tryTake(target, f.now))
                continue;
            ++sent;
            f.limits.onAnswer(target, testCase.stated, f.now);
        }
        cr_expect(sent <= 10 * testCase.perSecond + 2 && sent >= 9 * testCase.perSecond, "cold %d, stated %.0f: %d in 10 s", testCase.cold, testCase.stated.value_or(0), sent);
    }
}

Test(ColdTargets, serviceStatesNoLimit_coldTargetIsUsedAsAnyOther)
{
    ColdTargetsFixture f;
    auto target = ColdTargetsFixture::entry(9000, 1, 1, "shop");
    f.limits.onEntry(target, f.now);
    for (int i = 0; i < 1000; ++i)
        cr_assert(f.limits.tryTake(target, f.now));
    f.limits.setColdServices({ { "shop", tolerated } }, f.now);
    cr_expect(!f.limits.tryTake(target, f.now), "the limit of a new configuration applies at once");
}

/// Guards against an overloaded cold target: a process that has just started, and may share the limit with hundreds of others, sends a burst.
Test(ColdTargets, instanceKnowsNoPeers_sendsNothingUntilTheTargetIsWarm)
{
    ColdTargetsFixture f;
    f.limits.onColdSharers(std::nullopt, f.now);
    auto target = ColdTargetsFixture::entry(1500, 1);
    f.limits.onEntry(target, f.now);
    for (int ms = 0; ms < 1500; ms += 50)
        cr_expect(!f.limits.tryTake(target, f.now + Milliseconds(ms)));
    cr_expect(f.limits.exhaustedTargets(f.now) == std::set<std::string> { target.id });
    cr_expect(f.limits.waitTime(target.id, f.now) == Milliseconds(1500));
    cr_expect(f.limits.tryTake(target, f.now + Milliseconds(1500)));
}

/// Guards against an overloaded cold target: resumed generations are sent beside the share.
Test(ColdTargets, resumedGenerations_delayTheNextRequests)
{
    ColdTargetsFixture f;
    auto target = ColdTargetsFixture::entry(9000, 1);
    f.limits.onEntry(target, f.now);
    for (int i = 0; i < 31; ++i)
        f.limits.take(target, f.now);
    cr_expect(f.limits.waitTime(target.id, f.now) > Milliseconds(1000));
    cr_expect(!f.limits.tryTake(target, f.now + Milliseconds(1000)));
    cr_expect(f.limits.tryTake(target, f.now + Milliseconds(1100)));
}

/// Guards against an overloaded cold target: bursts and refill together exceed the bound for some number of instances or some limits of a service.
Test(ColdBudget, anyLimitsAndFleet_burstsAndRefillOfOneSecondStayWithinTheBound)
{
    for (double perSecond : { 0.1, 1.0, 2.0, 7.5, 31.0, 400.0 }) {
        for (ColdBounds bounds : { ColdBounds {}, ColdBounds { .overrun = 1.5, .slack = 5 }, ColdBounds { .overrun = 1, .slack = 1 } }) {
            ColdBudget budget(perSecond, bounds);
            auto reserve = static_cast<double>(budget.reserveSharers()) * (1 + budget.reserveShare());
            for (std::size_t instances = 1; instances <= 300; ++instances) {
                auto sharers = static_cast<double>(budget.sharers(instances));
                double sum = sharers * (1 + budget.share(instances)) + reserve;
                cr_expect(sum <= budget.bound() + 1e-9, "%.1f per second, %zu instances: %.2f", perSecond, instances, sum);
                cr_expect(sharers * budget.share(instances) <= perSecond + 1e-9);
            }
        }
    }
}
