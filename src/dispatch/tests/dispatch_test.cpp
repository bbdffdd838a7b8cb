#include "dispatch/outputestimator.h"
#include "dispatch/refusalhistory.h"
#include "dispatch/retrybudget.h"
#include "dispatch/saturationtracker.h"
#include "dispatch/targetselector.h"

#include <cmath>
#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// Engines of one pool that alternate between two failure domains.
struct SelectionFixture {
    std::vector<TargetEntry> entries;
    LoadLedger ledger;
    OutcomeTracker outcomes;
    std::optional<EngineTraits> engine = EngineTraits { .slots = 24, .memoryTokens = 20000 };
    std::set<std::string> excluded;
    TimePoint now { Seconds(50) };
    Random random { 7 };
    WorkId lastId = 0;

    explicit SelectionFixture(int count)
    {
        for (int i = 0; i < count; ++i)
            entries.push_back({ .id = "engine-" + std::to_string(i), .service = "writer", .endpoint = { .address = "10.0.0." + std::to_string(i), .port = 80 }, .failureDomain = i % 2 == 0 ? "near" : "far", .slots = 6 });
    }

    std::string address(std::size_t index) const { return toString(entries.at(index).endpoint); }

    /// Fills an engine's memory.
    void fill(std::size_t index)
    {
        ledger.begin(++lastId, entries.at(index).id, { .promptTokens = engine->memoryTokens });
        ledger.setOutputTokens(lastId, 1);
    }

    std::optional<TargetChoice> select(WorkEstimate estimate)
    {
        std::vector<const TargetEntry*> candidates;
        for (const auto& entry : entries)
            candidates.push_back(&entry);
        return selectTarget({ .candidates = candidates, .ledger = ledger, .outcomes = outcomes, .engine = engine, .preferredDomain = "near", .excluded = excluded, .estimate = estimate, .now = now }, random);
    }

    /// Starts a generation on the selected engine; returns false if no engine had capacity.
    bool start(WorkEstimate estimate)
    {
        auto choice = select(estimate);
        if (choice)
            ledger.begin(++lastId, choice->target, estimate);
        return choice.has_value();
    }
};

}

Test(LoadLedger, outputBeyondEstimate_increasesReservedTokens)
{
    LoadLedger ledger;
    ledger.begin(1, "a", { .promptTokens = 100, .outputTokens = 50 });
    auto load = ledger.totalLoad("a");
    cr_expect(load.requests == 1 && load.pendingPromptTokens == 100);
    cr_expect(load.tokens > 100 && load.tokens <= 150, "only part of the expected growth is counted");
    ledger.setOutputTokens(1, 40);
    cr_expect(ledger.totalLoad("a").pendingPromptTokens == 0);
    ledger.setOutputTokens(1, 200);
    cr_expect(ledger.totalLoad("a").tokens > 350, "the output exceeded its estimate and is expected to grow");
    ledger.setTarget(1, "b");
    cr_expect(ledger.totalLoad("a") == TargetLoad {});
    ledger.end(1);
    cr_expect(ledger.totalLoad("b") == TargetLoad {});
    cr_expect(ledger.localLoads().empty());
}

Test(LoadLedger, newPeerReport_replacesPreviousOne)
{
    LoadLedger ledger;
    ledger.setPeerLoads("p", { { "a", { .requests = 2, .tokens = 10 } }, { "b", { .requests = 1, .tokens = 5 } } });
    ledger.updatePeerLoads("p", { { "a", { .requests = 1, .tokens = 4 } }, { "b", {} } });
    cr_expect(ledger.totalLoad("a").tokens == 4);
    cr_expect(ledger.totalLoad("b").requests == 0);
    ledger.setPeerLoads("p", { { "c", { .requests = 1, .tokens = 1 } } });
    cr_expect(ledger.totalLoad("a").requests == 0);
    ledger.removePeer("p");
    cr_expect(ledger.totalLoad("c").requests == 0);
}

Test(LoadLedger, workGrantedToPeer_countsInTotalAndIsNotReported)
{
    LoadLedger ledger;
    ledger.beginForPeer(1, "a", { .promptTokens = 100 });
    cr_expect(ledger.totalLoad("a").requests == 1);
    cr_expect(ledger.localLoads().empty());
    cr_expect(ledger.takeChangedTargets().empty());
    ledger.end(1);
    cr_expect(ledger.totalLoad("a").requests == 0);
}

Test(TargetSelector, burstOfGenerations_isSpreadAndStopsBeforeMemoryIsFull)
{
    SelectionFixture f(4);
    int started = 0;
    for (bool placed = true; placed;) {
        placed = f.start({ .promptTokens = 3000, .outputTokens = 900 });
        started += placed ? 1 : 0;
        // The prompt is processed before the next request arrives.
        f.ledger.setOutputTokens(f.lastId, 1);
    }
    cr_expect(started >= 4 * 4 && started <= 4 * 6, "engines of 20,000 tokens hold four to six of 3,900, started %d", started);
    for (const auto& entry : f.entries) {
        cr_expect(f.ledger.totalLoad(entry.id).tokens <= 20000);
        cr_expect(std::abs(f.ledger.totalLoad(entry.id).requests - started / 4) <= 1);
    }
}

Test(TargetSelector, pendingPromptsAtLimit_engineTakesNoMorePrompts)
{
    SelectionFixture f(2);
    f.engine->memoryTokens = 1000000;
    int started = 0;
    while (f.start({ .promptTokens = 3000, .outputTokens = 900 }))
        ++started;
    cr_expect(started == 4, "two of 3,000 tokens each within 7,000, started %d", started);
    f.ledger.setOutputTokens(1, 4);
    cr_expect(f.start({ .promptTokens = 3000, .outputTokens = 900 }), "a pending prompt was processed");
}

/// Engines under constant load always have pending prompts, which must not keep moved generations out.
Test(TargetSelector, movedGeneration_isNotBlockedByPendingPrompts)
{
    SelectionFixture f(1);
    f.engine->memoryTokens = 34000;
    f.start({ .promptTokens = 3000, .outputTokens = 900 });
    f.start({ .promptTokens = 2500, .outputTokens = 12 });
    cr_expect(!f.select({ .promptTokens = 4000, .outputTokens = 400 }), "the pending prompts are at the limit");
    cr_expect(f.select({ .copiedTokens = 4000, .outputTokens = 400 }));
    f.start({ .copiedTokens = 4000, .outputTokens = 400 });
    auto load = f.ledger.totalLoad("engine-0");
    cr_expect(load.pendingPromptTokens == 5500, "copied tokens are not pending prompt tokens");
    cr_expect(load.tokens > 9500);
}

Test(TargetSelector, lateRequest_leavesMemoryForOnTimeRequests)
{
    SelectionFixture f(1);
    f.ledger.begin(1, "engine-0", { .promptTokens = 11000 });
    f.ledger.setOutputTokens(1, 1);
    std::vector<const TargetEntry*> candidates { &f.entries[0] };
    SelectionInputs inputs { .candidates = candidates, .ledger = f.ledger, .outcomes = f.outcomes, .engine = f.engine, .preferredDomain = "near", .excluded = f.excluded, .estimate = { .promptTokens = 6000 }, .now = f.now };
    cr_expect(selectTarget(inputs, f.random).has_value());
    inputs.admission.rule = lateAdmission;
    cr_expect(!selectTarget(inputs, f.random).has_value());
}

Test(TargetSelector, generationLargerThanAnEngine_runsAlone)
{
    SelectionFixture f(1);
    cr_expect(f.start({ .promptTokens = 30000, .outputTokens = 10 }));
    cr_expect(!f.start({ .promptTokens = 10, .outputTokens = 10 }));
}

Test(TargetSelector, failingTarget_isUsedOnlyIfOthersAreExcluded)
{
    SelectionFixture f(2);
    f.engine.reset();
    for (int i = 0; i < 6; ++i)
        f.outcomes.onFailure(f.address(0), f.now);
    for (int i = 0; i < 5; ++i)
        f.ledger.begin(static_cast<WorkId>(100 + i), "engine-1", {});
    cr_expect(f.select({})->target == "engine-1");
    f.excluded.insert("engine-1");
    cr_expect(f.select({})->target == "engine-0");
    f.excluded.clear();
    f.now += Seconds(20);
    cr_expect(f.select({})->target == "engine-0", "old failures lose their weight");
}

Test(TargetSelector, equalLoads_preferredFailureDomainIsChosen)
{
    SelectionFixture f(2);
    f.engine.reset();
    cr_expect(f.select({})->target == "engine-0");
}

/// Guards against a herd: the instances of a large fleet learn at the same time which target is the least loaded, and all sent to it until
/// the next summary.
Test(TargetSelector, manyInstancesSeeTheSameLoads_theirRequestsAreSpread)
{
    constexpr int targetCount = 12;
    constexpr int requests = 120;
    std::vector<TargetEntry> targets;
    std::vector<const TargetEntry*> candidates;
    LoadLedger ledger;
    for (int number = 0; number < targetCount; ++number)
        targets.push_back({ .id = "shop-" + std::to_string(number), .service = "shop", .failureDomain = "d" + std::to_string(number % 5), .slots = 6 });
    for (int number = 0; number < targetCount; ++number) {
        candidates.push_back(&targets[static_cast<std::size_t>(number)]);
        ledger.setPeerLoads(std::to_string(number), { { targets[static_cast<std::size_t>(number)].id, { .requests = number % 4 } } });
    }
    OutcomeTracker outcomes;
    std::optional<EngineTraits> noEngine;
    std::set<std::string> excluded;
    Random random(5);
    std::map<std::string, int> counts;
    for (int request = 0; request < requests; ++request) {
        auto choice = selectTarget({ .candidates = candidates, .ledger = ledger, .outcomes = outcomes, .engine = noEngine, .preferredDomain = "d0", .excluded = excluded, .now = TimePoint(Seconds(100)), .loadsAreShared = true }, random);
        cr_assert(choice.has_value());
        ++counts[choice->target];
    }
    for (const auto& [target, count] : counts)
        cr_expect_leq(count, 3 * requests / targetCount, "%s got %d of %d", target.c_str(), count, requests);
}

Test(TargetSelector, manyInstancesSeeTheSameLoads_suspectIsLeftOut)
{
    std::vector<TargetEntry> targets { { .id = "failing", .service = "shop", .endpoint = { .address = "10.0.0.1", .port = 1 }, .slots = 6 }, { .id = "sound", .service = "shop", .endpoint = { .address = "10.0.0.2", .port = 1 }, .slots = 6 } };
    std::vector<const TargetEntry*> candidates { &targets[0], &targets[1] };
    LoadLedger ledger;
    OutcomeTracker outcomes;
    TimePoint now { Seconds(100) };
    for (int failure = 0; failure < 6; ++failure)
        outcomes.onFailure("10.0.0.1:1", now);
    std::optional<EngineTraits> noEngine;
    std::set<std::string> excluded;
    Random random(5);
    for (int request = 0; request < 50; ++request)
        cr_expect(selectTarget({ .candidates = candidates, .ledger = ledger, .outcomes = outcomes, .engine = noEngine, .preferredDomain = "", .excluded = excluded, .now = now, .loadsAreShared = true }, random)->target == "sound");
}

Test(OutcomeTracker, ordinaryErrorRate_isNotSuspect)
{
    OutcomeTracker outcomes;
    TimePoint now { Seconds(1) };
    for (int i = 0; i < 200; ++i) {
        now += Milliseconds(30);
        if (i % 7 == 0)
            outcomes.onFailure("a", now);
        else
            outcomes.onSuccess("a", now);
        cr_assert(!outcomes.isSuspect("a", now));
    }
}

Test(OutcomeTracker, twoOfFiveFailing_isSuspectWithinASecond)
{
    OutcomeTracker outcomes;
    TimePoint now { Seconds(1) };
    for (int i = 0; i < 30; ++i) {
        now += Milliseconds(33);
        if (i % 5 < 2)
            outcomes.onFailure("a", now);
        else
            outcomes.onSuccess("a", now);
    }
    cr_expect(outcomes.isSuspect("a", now));
}

Test(OutcomeTracker, twoFailuresAcrossInstances_engineIsAvoided)
{
    SelectionFixture f(2);
    f.ledger.begin(1, "engine-0", { .promptTokens = 5000 });
    f.ledger.setOutputTokens(1, 4);
    cr_expect(f.select({ .promptTokens = 3000 })->target == "engine-1", "the empty engine is the least loaded");
    OutcomeTracker peer;
    peer.onFailure(f.address(1), f.now);
    f.outcomes.onFailure(f.address(1), f.now);
    f.outcomes.onPeerOutcomes(peer.takeUnreported(), f.now);
    cr_expect(f.select({ .promptTokens = 3000 })->target == "engine-0");
    cr_expect(peer.takeUnreported().empty(), "each observation is reported only once");
}

/// An engine that crashes repeatedly is empty while the others are full, and would attract every request.
Test(TargetSelector, crashedEngineAmongFullOnes_getsOneProbePerInterval)
{
    SelectionFixture f(4);
    for (std::size_t i = 1; i < 4; ++i)
        f.fill(i);
    cr_expect(f.select({ .promptTokens = 3000 })->target == "engine-0", "only this engine has capacity");
    f.outcomes.onUnreachable(f.address(0), f.now);
    auto probe = f.select({ .promptTokens = 3000 });
    cr_assert(probe && probe->isProbe);
    f.outcomes.onProbed(f.address(0), f.now);
    for (int i = 0; i < 9; ++i) {
        f.now += Milliseconds(100);
        cr_expect(!f.select({ .promptTokens = 3000 }), "other requests wait for a working engine");
    }
    f.now += Milliseconds(100);
    cr_expect(f.select({ .promptTokens = 3000 })->isProbe, "probed again after a second");
    for (int i = 0; i < 8; ++i)
        f.outcomes.onSuccess(f.address(0), f.now);
    cr_expect(!f.select({ .promptTokens = 3000 })->isProbe, "the engine has recovered");
}

Test(TargetSelector, newTargetAtCrashedAddress_isStillSuspect)
{
    SelectionFixture f(3);
    f.fill(1);
    f.fill(2);
    f.outcomes.onUnreachable(f.address(0), f.now);
    f.outcomes.onUnreachable(f.address(0), f.now);
    f.entries[0].id = "engine-0-again";
    f.now += Milliseconds(700);
    cr_expect(f.select({ .promptTokens = 3000 })->isProbe);
}

Test(TargetSelector, mostEnginesSuspect_noneIsExcluded)
{
    SelectionFixture f(4);
    for (std::size_t i = 0; i < 3; ++i) {
        f.outcomes.onUnreachable(f.address(i), f.now);
        f.outcomes.onProbed(f.address(i), f.now);
    }
    f.fill(3);
    auto choice = f.select({ .promptTokens = 3000 });
    cr_expect(choice && !choice->isProbe);
}

Test(RetryBudget, sharesOfAllInstances_stayWithinFleetLimit)
{
    const int instances = 6;
    const int allowance = 52;
    BootTime now { Seconds(100) };
    int spent = 0;
    int requests = 0;
    for (int instance = 0; instance < instances; ++instance) {
        RetryBudget budget({ .ratio = 0.2, .fleetAllowance = allowance, .window = Milliseconds(10000) });
        for (int i = 0; i < 50; ++i, ++requests)
            budget.onRequest("writer", now);
        while (budget.tryTake("writer", instances, now).allowed)
            ++spent;
    }
    cr_expect(spent > 0);
    cr_expect(spent <= 0.2 * requests + allowance, "spent %d", spent);
}

Test(RetryBudget, retriesOfPastWindow_areNotCounted)
{
    RetryBudget budget({ .ratio = 0, .fleetAllowance = 1, .window = Milliseconds(1000) });
    BootTime now { Seconds(100) };
    cr_expect(budget.tryTake("writer", 1, now).allowed);
    cr_expect(!budget.tryTake("writer", 1, now).allowed);
    cr_expect(!budget.tryTake("writer", 1, now + Milliseconds(1001)).allowed, "the first one may have reached its target only now");
    cr_expect(budget.tryTake("writer", 1, now + Milliseconds(3001)).allowed);
}

Test(RetryBudget, instanceWithoutShare_retriesByRequestsOnly)
{
    RetryBudget budget({ .ratio = 0.2, .fleetAllowance = 50, .window = Milliseconds(10000) });
    BootTime now { Seconds(100) };
    cr_expect(!budget.tryTake("writer", std::nullopt, now).allowed);
    for (int i = 0; i < 10; ++i)
        budget.onRequest("writer", now);
    RetryDecision expected { .allowed = true, .taken = 1, .limit = 1, .requests = 10 };
    cr_expect(budget.tryTake("writer", std::nullopt, now) == expected);
    cr_expect(!budget.tryTake("writer", std::nullopt, now).allowed);
}

Test(RefusalHistory, returningCaller_firstAttemptTimeIsKept)
{
    RefusalHistory refusals;
    TimePoint first { Seconds(10) };
    cr_expect(!refusals.firstAttempt(7, first).has_value());
    refusals.onRefused(7, first, first + Seconds(1));
    refusals.onRefused(7, first, first + Seconds(2));
    cr_expect(refusals.firstAttempt(7, first + Seconds(3)) == first);
    cr_expect(!refusals.firstAttempt(8, first).has_value());
    cr_expect(!refusals.firstAttempt(7, first + Seconds(30)).has_value());
}

Test(OutputEstimator, routeHistory_replacesHalfTheOutputBound)
{
    OutputEstimator outputs;
    cr_expect(outputs.expectedTokens("r", std::nullopt, 2000) > 1000);
    for (int i = 0; i < 50; ++i)
        outputs.addObservation("r", std::nullopt, 100);
    auto expected = outputs.expectedTokens("r", std::nullopt, 2000);
    cr_expect(expected >= 100 && expected <= 150, "expected %d", expected);
    cr_expect(outputs.expectedTokens("r", 800, 2000) > expected, "a larger guess increases the estimate");
    cr_expect(outputs.expectedTokens("r", std::nullopt, 40) <= 40, "the caller's bound holds");
}

/// The callers' guesses are right at the median and vary more than the lengths do.
Test(OutputEstimator, noisyGuesses_areWeightedByTheirCorrelation)
{
    OutputEstimator outputs;
    Random random(11);
    std::normal_distribution<double> length(std::log(400), 0.95);
    std::normal_distribution<double> noise(0, 1.1);
    double squaredError = 0;
    double squaredErrorOfMedian = 0;
    double squaredErrorOfGuess = 0;
    const int generations = 2000;
    const int warmUpGenerations = 100;
    for (int i = 0; i < generations; ++i) {
        double actual = length(random);
        int guess = static_cast<int>(std::exp(actual + noise(random)));
        double expected = std::log(outputs.expectedTokens("r", guess, 100000) / 1.25);
        outputs.addObservation("r", guess, static_cast<int>(std::exp(actual)));
        if (i < warmUpGenerations)
            continue;
        squaredError += (expected - actual) * (expected - actual);
        squaredErrorOfMedian += (std::log(400) - actual) * (std::log(400) - actual);
        squaredErrorOfGuess += (std::log(std::max(1, guess)) - actual) * (std::log(std::max(1, guess)) - actual);
    }
    // With these spreads a linear regression explains 0.95^2 / (0.95^2 + 1.1^2) = 43% of the variance.
    cr_expect(squaredError < 0.62 * squaredErrorOfMedian, "%.2f of the variance is unexplained", squaredError / squaredErrorOfMedian);
    cr_expect(squaredError < 0.62 * squaredErrorOfGuess);
}

Test(OutputEstimator, lengthsOfPeers_countLikeLocalOnes)
{
    OutputEstimator local;
    OutputEstimator peer;
    for (int i = 0; i < 40; ++i)
        peer.addObservation("r", 200, 100);
    local.onPeerLengthSums(peer.takeUnreported());
    cr_expect(local.expectedTokens("r", 200, 5000) == peer.expectedTokens("r", 200, 5000));
    cr_expect(peer.takeUnreported().empty(), "each observation is reported only once");
}

Test(SaturationTracker, idleTime_isNotCountedAsSaturation)
{
    SaturationTracker saturation;
    TimePoint now { Seconds(100) };
    saturation.onCapacity("writer");
    now += Seconds(10);
    saturation.onSaturated("writer", now);
    cr_expect(saturation.saturatedFor("writer", now) == Clock::duration {}, "no request arrived in the idle time");
    saturation.onSaturated("writer", now + Seconds(2));
    cr_expect(saturation.saturatedFor("writer", now + Seconds(3)) == Seconds(3), "since the first request without capacity");
    cr_expect(saturation.saturatedFor("other", now) == Clock::duration {});
    saturation.onCapacity("writer");
    cr_expect(saturation.saturatedFor("writer", now + Seconds(4)) == Clock::duration {});
}
