#include "dispatch/relativepaces.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// Engines of one service that are observed at this instance or reported by peers.
struct PaceFixture {
    std::vector<TargetEntry> entries;
    PaceTracker tracker;
    TimePoint now { Seconds(50) };

    explicit PaceFixture(int count)
    {
        for (int i = 0; i < count; ++i)
            entries.push_back({ .id = "engine-" + std::to_string(i), .service = "writer", .startedAt = 1'700'000'000'000 + i });
    }

    /// A stream at the engine receives samples of five events.
    void observe(std::size_t engine, double eventMs, int samples = 16)
    {
        auto duration = fromSeconds(5 * eventMs / 1000);
        for (int sample = 0; sample < samples; ++sample)
            tracker.onEventGap(entries.at(engine), 5, duration, 1, now += duration);
    }

    void report(const char* peer, std::size_t engine, int eventMs)
    {
        const auto& entry = entries.at(engine);
        tracker.onPeerPaces(peer, { { entry.id, { .incarnation = static_cast<std::uint16_t>(entry.startedAt), .halfMsPerEvent = 2 * eventMs } } }, now);
    }

    double relative(std::size_t engine, PaceKind kind = PaceKind::Events) const
    {
        std::vector<const TargetEntry*> targets;
        for (const auto& entry : entries)
            targets.push_back(&entry);
        return RelativePaces(&tracker, kind, targets).of(entries.at(engine));
    }
};

}

/// Guards against late knowledge: engines live for seconds, and a slow engine sends 30 events in 1.5 s.
Test(PaceTracker, oneStreamForOneAndAHalfSeconds_slowEngineIsKnown)
{
    PaceFixture f(4);
    for (std::size_t engine = 0; engine < 3; ++engine)
        f.observe(engine, 20);
    f.observe(3, 49, 3);
    cr_expect(f.relative(3) == 1, "nothing is known yet");
    f.observe(3, 49, 3);
    cr_expect_float_eq(f.relative(3), 2.45, 0.01);
    cr_expect(f.relative(0) == 1);
}

/// Guards against avoiding an engine for a moment of stutter, which makes all its streams 2.5 times slower for 0.6 s.
Test(PaceTracker, stutterOfOneEngine_doesNotChangeItsPace)
{
    PaceFixture f(3);
    for (std::size_t engine = 0; engine < 3; ++engine)
        f.observe(engine, 30, 40);
    constexpr int streams = 4;
    constexpr int samplesInStutter = 600 / (5 * 75);
    f.observe(0, 75, streams * samplesInStutter);
    cr_expect(f.relative(0) == 1);
}

/// Guards against taking the prompts beside a stream, which double the time of its events, for a slow engine.
Test(PaceTracker, promptsDuringHalfOfTheTime_doNotChangeThePace)
{
    PaceFixture f(3);
    for (std::size_t engine = 0; engine < 3; ++engine)
        f.observe(engine, 30, 40);
    for (int sample = 0; sample < 24; ++sample)
        f.observe(0, sample % 2 == 0 ? 60 : 30, 1);
    cr_expect(f.relative(0) == 1);
}

Test(PaceTracker, restartedTarget_isForgotten)
{
    PaceFixture f(4);
    for (std::size_t engine = 0; engine < 4; ++engine)
        f.observe(engine, engine == 3 ? 60 : 24);
    f.entries[3].startedAt += 5000;
    cr_expect(f.relative(3) == 1);
    f.observe(3, 24);
    auto late = f.entries[3];
    late.startedAt -= 5000;
    f.tracker.onPeerPaces("peer", { { late.id, { .incarnation = static_cast<std::uint16_t>(late.startedAt), .halfMsPerEvent = 120 } } }, f.now);
    cr_expect(f.tracker.pace(f.entries[3])->maxEventMs < 25, "a late report of the earlier incarnation arrived");
}

/// Guards against taking the ordinary variation of plain answers for a difference between targets.
Test(PaceTracker, plainAnswers_onlyClearlySlowerTargetsCount)
{
    PaceFixture f(4);
    for (int answer = 0; answer < 40; ++answer) {
        for (std::size_t target = 0; target < 4; ++target)
            f.tracker.onPlainAnswer(f.entries[target], Milliseconds((target == 3 ? 100 : 40) + 7 * ((answer + static_cast<int>(target)) % 6)), f.now);
    }
    // Medians of 114 to 121 ms against 54 to 61 ms.
    double slower = f.relative(3, PaceKind::PlainAnswers);
    cr_expect(slower > 1.8 && slower < 2.3, "%g", slower);
    for (std::size_t target = 0; target < 3; ++target)
        cr_expect(f.relative(target, PaceKind::PlainAnswers) == 1);
}

/// Guards against a peer that reports wrong paces: it must neither limit a target nor attract all requests to it.
Test(PaceTracker, wrongValuesOfOnePeer_areOutvoted)
{
    for (int wrong : { 1, 3, 300, 1900 }) {
        PaceFixture f(4);
        for (std::size_t engine = 0; engine < 4; ++engine) {
            f.report("wrong", engine, engine == 3 ? wrong : 24);
            cr_expect(f.relative(engine) < 1.4 && f.relative(engine) >= 0.74, "a single peer says %d, taken as %g", wrong, f.relative(engine));
            f.report("right", engine, 24);
        }
        cr_expect(f.relative(3) == 1, "of %d and 24, %g was taken", wrong, f.relative(3));
    }
    PaceFixture f(3);
    f.report("wrong", 0, 100000);
    cr_expect(!f.tracker.pace(f.entries[0]), "an impossible value is ignored");
}

/// Guards against an owner that takes over and knows nothing: within the repeat interval it hears all that the others know.
Test(PaceTracker, unchangedPace_isRepeatedAfterSecondsOnly)
{
    PaceFixture f(1);
    f.observe(0, 24);
    cr_expect(f.tracker.takeUnreported(f.now).size() == 1);
    f.observe(0, 25, 2);
    cr_expect(f.tracker.takeUnreported(f.now).empty(), "not a noticeable change");
    f.tracker.onRecipientsChanged();
    cr_expect(f.tracker.takeUnreported(f.now).size() == 1, "a new aggregator knows nothing");
    f.now += Seconds(5);
    cr_expect(f.tracker.takeUnreported(f.now).size() == 1, "datagrams get lost");
}
