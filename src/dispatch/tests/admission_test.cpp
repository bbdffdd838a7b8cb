#include "dispatch/refusalhistory.h"
#include "dispatch/returnschedule.h"
#include "dispatch/tests/modelledpool.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

constexpr int engineCount = 12;
constexpr int seeds = 3;
/// Long requests per second that the engines can just serve.
constexpr double fullLongRate = 12;
constexpr ArrivalRates usualRates { .longRequests = 0.7 * fullLongRate, .shortRequests = 6 };

ArrivalRates scaled(ArrivalRates rates, double longFactor, double shortFactor)
{
    return { .longRequests = longFactor * rates.longRequests, .shortRequests = shortFactor * rates.shortRequests };
}

void expectShortsAreServed(const ModelledPool& pool, int seed)
{
    cr_expect(pool.shorts.refused == 0, "seed %d: %d of %d short requests were refused", seed, pool.shorts.refused, pool.shorts.arrived);
    cr_expect(pool.shorts.waitQuantile(1) < 0.3, "seed %d: a short request waited %.2f s", seed, pool.shorts.waitQuantile(1));
}

}

/// Guards against memory that runs out, and urgent requests that wait, when long generations come 2.3 times as often for 6 s. Short
/// requests start at once. Long ones wait for 1.5 s at most, or are refused during the burst, and none before or long after it.
Test(Admission, burstOfLongGenerations_shortOnesAreServedAndMemorySuffices)
{
    for (int seed = 1; seed <= seeds; ++seed) {
        ModelledPool pool(engineCount, static_cast<std::uint64_t>(seed));
        pool.run(Seconds(15), usualRates);
        cr_expect(pool.longs.refused == 0, "seed %d: refused before the burst", seed);
        pool.run(Seconds(6), scaled(usualRates, 2.3, 1));
        pool.run(Seconds(6), usualRates);
        int refused = pool.longs.refused;
        pool.run(Seconds(10), usualRates);
        cr_expect(pool.longs.refused == refused, "seed %d: refused long after the burst", seed);
        cr_expect(pool.longs.refusedShare() < 0.15, "seed %d: %.2f of the long requests were refused", seed, pool.longs.refusedShare());
        cr_expect(pool.preemptions <= 1, "seed %d: %d preemptions", seed, pool.preemptions);
        expectShortsAreServed(pool, seed);
    }
}

/// Guards against a burst of urgent short requests that finds no room in full engines, or displaces what runs there. Short requests start
/// at once; long ones may wait or be refused, since more of them come than fit.
Test(Admission, burstOfShortRequestsIntoFullEngines_shortOnesAreServed)
{
    for (int seed = 1; seed <= seeds; ++seed) {
        ModelledPool pool(engineCount, static_cast<std::uint64_t>(seed));
        auto overload = scaled(usualRates, 1.6, 1);
        pool.run(Seconds(15), overload);
        pool.run(Seconds(6), scaled(overload, 1, 1.9));
        pool.run(Seconds(6), usualRates);
        cr_expect(pool.longs.refusedShare() < 0.15, "seed %d: %.2f of the long requests were refused", seed, pool.longs.refusedShare());
        cr_expect(pool.preemptions <= 1, "seed %d: %d preemptions", seed, pool.preemptions);
        expectShortsAreServed(pool, seed);
    }
}

/// Guards against streams that break with their engine, and destinations that are full, when a sixth of the engines is replaced every
/// 3.3 s and both bursts come. No stream breaks; long requests may wait or be refused for the room that moves need.
Test(Admission, bothBurstsWhileEnginesAreReplaced_streamsMoveAndContinue)
{
    for (int seed = 1; seed <= seeds; ++seed) {
        ModelledPool pool(engineCount, static_cast<std::uint64_t>(seed));
        for (int round = 0; round < 9; ++round) {
            bool burst = round == 4 || round == 5;
            pool.run(Milliseconds(3300), burst ? scaled(usualRates, 2.2, 1.8) : usualRates);
            pool.replaceEngines(engineCount / 6);
        }
        cr_expect(pool.moved >= 50, "seed %d: %d moves", seed, pool.moved);
        cr_expect(pool.broken == 0, "seed %d: %d streams broke, %d moved", seed, pool.broken, pool.moved);
        cr_expect(pool.destinationsFull <= 1, "seed %d: %d destinations were full", seed, pool.destinationsFull);
        cr_expect(pool.preemptions <= 2, "seed %d: %d preemptions", seed, pool.preemptions);
        expectShortsAreServed(pool, seed);
    }
}

/// Guards against a new owner that overfills the engines because it knows the running generations from its peers' reports only. Short
/// requests start at once, waiting ones queue again, and memory suffices as before.
Test(Admission, ownerChangesInOverload_memorySufficesAndShortOnesAreServed)
{
    for (int seed = 1; seed <= seeds; ++seed) {
        ModelledPool pool(engineCount, static_cast<std::uint64_t>(seed));
        pool.run(Seconds(15), scaled(usualRates, 1.6, 1));
        pool.changeOwner();
        pool.run(Seconds(15), scaled(usualRates, 1.6, 1));
        cr_expect(pool.preemptions <= 2, "seed %d: %d preemptions", seed, pool.preemptions);
        cr_expect(pool.longs.refusedShare() < 0.15, "seed %d: %.2f of the long requests were refused", seed, pool.longs.refusedShare());
        expectShortsAreServed(pool, seed);
    }
}

/// Deployments whose engines have more memory than their slots need must be served as before.
Test(MemoryForecast, roomyMemory_slotsAreTheOnlyLimit)
{
    EngineTraits engine { .slots = 24, .memoryTokens = 24 * 6000 };
    TargetLoad load { .requests = 23, .tokens = 23.0 * 3500, .heldTokens = 23.0 * 2900, .growthTokens = 23.0 * 750 };
    WorkEstimate estimate { .promptTokens = 3000, .outputTokens = 750 };
    cr_expect(hasCapacity(engine, load, estimate, ordinaryAdmission));
    load.requests = 24;
    cr_expect(!hasCapacity(engine, load, estimate, shortAdmission));
}

/// A generation that has outlived half its estimate is not nearly done: only the long ones got this far.
Test(MemoryForecast, generationBeyondItsMedian_isExpectedToGrowFurther)
{
    cr_expect(expectedGrowth(625, 0) == 625);
    cr_expect(expectedGrowth(625, 450) > 300 && expectedGrowth(625, 450) < 500, "%f", expectedGrowth(625, 450));
    cr_expect(expectedGrowth(625, 3000) > 600);
    cr_expect(std::isfinite(expectedGrowth(8, 8000)));
    cr_expect(expectedGrowth(0, 10) == 0);
}

/// Room for urgent requests that nobody sends is lost to the others.
Test(MemoryReserve, urgentDemandEnds_itsRoomIsFree)
{
    MemoryReserve reserve;
    TimePoint now { Seconds(50) };
    ReserveInputs inputs { .usableEngines = 2, .memoryTokens = 26800 };
    cr_expect(reserve.tokensPerEngine("writer", inputs, now) == 0);
    for (int i = 0; i < 50; ++i)
        reserve.onUrgentRequest("writer", { .promptTokens = 2500, .outputTokens = 8 }, now);
    double kept = reserve.tokensPerEngine("writer", inputs, now);
    cr_expect(kept > 1000 && kept < 3000, "%f", kept);
    cr_expect(reserve.tokensPerEngine("other", inputs, now) == 0);
    cr_expect(reserve.tokensPerEngine("writer", inputs, now + Seconds(11)) == 0);
    inputs.movingTokens = 8000;
    cr_expect(reserve.tokensPerEngine("writer", inputs, now + Seconds(11)) == 4000, "queued moves need room");
}

/// A destination that refused a move was granted again to the next one.
Test(MemoryReserve, destinationRefusesMove_countsAsFullForAShortTime)
{
    MemoryReserve reserve;
    TimePoint now { Seconds(50) };
    reserve.onDestinationFull("a", 4000, 9000, now);
    cr_expect(reserve.missingTokens("a", now + Seconds(1)) == 5000, "the room is at most what the generation needed");
    cr_expect(reserve.missingTokens("b", now) == 0);
    cr_expect(reserve.missingTokens("a", now + Seconds(3)) == 0);
}

/// Refused callers came back in any order, so that some waited for many times as long as others.
Test(ReturnSchedule, manyCallersRefusedAtOnce_returnInTheOrderOfTheirFirstAttempts)
{
    ReturnSchedule schedule;
    TimePoint now { Seconds(50) };
    ReturnSchedule::Inputs inputs { .expectedWait = Seconds(2), .startInterval = Milliseconds(100) };
    std::vector<Clock::duration> delays;
    for (int i = 0; i < 30; ++i) {
        inputs.firstAttemptAt = now + Milliseconds(i);
        delays.push_back(schedule.advise("writer", inputs, now + Milliseconds(i)));
    }
    cr_expect(std::is_sorted(delays.begin(), delays.end()));
    cr_expect(delays.front() == Seconds(2) && delays.back() > Milliseconds(4500) && delays.back() < Seconds(6), "spread over the time that 30 starts take");
    inputs.firstAttemptAt = now - Seconds(3);
    cr_expect(schedule.advise("writer", inputs, now + Seconds(1)) < Seconds(1), "who came first is let in before those that were refused earlier");
    inputs.firstAttemptAt = now + Seconds(1);
    inputs.expectedWait = Seconds(60);
    cr_expect(schedule.advise("writer", inputs, now + Seconds(1)) <= Seconds(12));
    cr_expect(schedule.advise("other", { .firstAttemptAt = now }, now) == Milliseconds(250));
}

/// Callers that return early and all at one moment overtook those that had tried before them. Each keeps the place of its first attempt, and
/// those that give up hold nobody back.
Test(WaitingQueue, refusedCallersReturnTogether_eachKeepsItsPlace)
{
    RefusalHistory refusals;
    WaitingQueue queue;
    TimePoint now { Seconds(50) };
    constexpr WorkId callers = 10;
    for (WorkId caller = 1; caller <= callers; ++caller)
        refusals.onRefused(caller, now + Milliseconds(caller), now + Milliseconds(caller));
    now += Milliseconds(300);
    auto enqueue = [&](WorkId caller) {
        queue.enqueue({ .id = caller, .service = "writer", .organisation = "a", .estimate = { .promptTokens = 2500, .outputTokens = 500 }, .arrivedAt = refusals.firstAttempt(caller, now).value_or(now), .latestStart = now + Seconds(2) }, now);
    };
    enqueue(callers + 1);
    for (WorkId caller = callers; caller >= 1; --caller)
        enqueue(caller);
    queue.remove(3);
    std::vector<WorkId> order;
    while (auto next = queue.takeNext([](const WaitingRequest&) { return true; }))
        order.push_back(next->id);
    cr_expect(order.size() == callers && order.back() == callers + 1, "a new caller comes after those that were refused");
    cr_expect(std::is_sorted(order.begin(), order.end()));
}

/// An organisation that sends several times its share must not keep the others waiting, also between its bursts when nothing of it runs;
/// it gets what the others leave, and is not served last for ever.
Test(WaitingQueue, organisationUsedSeveralTimesItsShare_othersGoFirstForTheWindow)
{
    WaitingQueue queue;
    TimePoint now { Seconds(50) };
    WorkId lastId = 0;
    auto push = [&](const std::string& organisation) {
        queue.enqueue({ .id = ++lastId, .service = "writer", .organisation = organisation, .rank = { .priority = 1 }, .estimate = { .promptTokens = 2500, .outputTokens = 500 }, .arrivedAt = now, .latestStart = now + Seconds(60) }, now);
        return lastId;
    };
    auto take = [&] { return queue.takeNext([](const WaitingRequest&) { return true; })->id; };
    for (int i = 0; i < 40; ++i)
        queue.onStarted("writer", i % 8 == 0 ? "modest" : "flood", { .priority = 1 }, { .promptTokens = 2500, .outputTokens = 500 }, now);
    now += Seconds(5);
    auto flood = push("flood");
    now += Seconds(1);
    auto modest = push("modest");
    auto rare = push("rare");
    cr_expect(take() == modest);
    cr_expect(take() == rare);
    cr_expect(take() == flood, "unused room goes to who wants it");
    now += Seconds(120);
    queue.onStarted("writer", "modest", { .priority = 1 }, { .promptTokens = 2500, .outputTokens = 500 }, now);
    flood = push("flood");
    now += Milliseconds(100);
    push("rare");
    cr_expect(take() == flood, "use of two minutes ago is forgotten");
}

/// A new owner has granted nothing itself and would serve the flood first.
Test(OrganisationUse, ownerChanged_sharesAreRelearnedFromReports)
{
    OrganisationUse use;
    TimePoint now { Seconds(50) };
    use.add("modest", 6000, now);
    cr_expect(use.isAboveFairShare("modest"));
    use.setReported("p", { { "flood", 60000 }, { "modest", 5000 } }, now);
    use.setReported("q", { { "flood", 20000 } }, now);
    cr_expect(use.isAboveFairShare("flood"));
    cr_expect(!use.isAboveFairShare("modest"));
    auto largest = use.largest(1, now);
    cr_expect(largest.size() == 1 && largest.count("modest") == 1, "reports of peers are not passed on");
}
