#include "scheduling/poolscheduler.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

struct PoolSchedulerFixture {
    PoolScheduler scheduler { PoolSchedulerOptions { .maxOverflowRisk = 0.2 } };
    TimePoint now = TimePoint {} + Seconds(1);
    std::uint64_t sequence = 0;

    explicit PoolSchedulerFixture(int engineCount = 2)
    {
        std::vector<EngineInfo> infos;
        for (int i = 0; i < engineCount; ++i)
            infos.push_back({ .name = "engine-" + std::to_string(i) });
        scheduler.setEngines(infos);
        scheduler.onTick(now);
    }

    PermitId sendRequest(const std::string& organisation, int promptTokens = 100, double weight = 1)
    {
        PermitRequest request { .id = { .instance = 1, .sequence = ++sequence }, .organisation = organisation, .service = "drafts", .weight = weight, .promptTokens = promptTokens, .maxTokens = 4096, .maxWait = Seconds(5) };
        auto id = request.id;
        scheduler.onRequest(std::move(request), now);
        return id;
    }

    std::vector<Grant> takeGrants()
    {
        std::vector<Grant> result;
        for (const auto& action : scheduler.takeActions()) {
            if (const auto* grant = std::get_if<Grant>(&action))
                result.push_back(*grant);
        }
        return result;
    }

    std::vector<Refusal> takeRefusals()
    {
        std::vector<Refusal> result;
        for (const auto& action : scheduler.takeActions()) {
            if (const auto* refusal = std::get_if<Refusal>(&action))
                result.push_back(*refusal);
        }
        return result;
    }

    void reportLoad(const std::string& engine, int usedTokens, int waiting = 0, double stepSeconds = 0.02)
    {
        scheduler.onLoadReport(engine, { .measuredAt = now, .tokensCapacity = 16000, .tokensUsed = usedTokens, .running = 1, .waiting = waiting, .stepSeconds = stepSeconds }, now);
    }
};

}

Test(PoolScheduler, freeEngines_grantImmediately)
{
    PoolSchedulerFixture f;
    f.sendRequest("a");
    cr_expect(f.takeGrants().size() == 1);
}

Test(PoolScheduler, fullEngines_queueRequestUntilGenerationFinishes)
{
    // [GIVEN] two engines whose memory is full of long prompts
    PoolSchedulerFixture f;
    auto first = f.sendRequest("a", 14000);
    f.sendRequest("a", 14000);
    auto third = f.sendRequest("a", 14000);
    cr_assert(f.takeGrants().size() == 2);
    // [WHEN] one generation finishes
    f.scheduler.onFinished(first, 10, GenerationOutcome::Completed, f.now);
    // [THEN] the third request is granted
    auto grants = f.takeGrants();
    cr_assert(grants.size() == 1);
    cr_expect(grants[0].id == third);
}

Test(PoolScheduler, engineNotAccepting_getsNoNewGenerations)
{
    PoolSchedulerFixture f;
    f.scheduler.setEngines({ { .name = "engine-0", .accepting = false }, { .name = "engine-1" } });
    for (int i = 0; i < 5; ++i)
        f.sendRequest("a");
    for (const auto& grant : f.takeGrants())
        cr_expect(grant.engine == "engine-1");
}

Test(PoolScheduler, removedEngine_isKeptUntilLastGenerationEnds)
{
    PoolSchedulerFixture f(1);
    auto id = f.sendRequest("a");
    f.scheduler.setEngines({});
    f.scheduler.onProgress(id, 5, false, f.now);
    f.scheduler.onFinished(id, 6, GenerationOutcome::Completed, f.now);
    cr_expect(f.scheduler.running() == 0);
}

Test(PoolScheduler, requestWaitingBeyondMaxWait_isRefused)
{
    PoolSchedulerFixture f(1);
    f.sendRequest("a", 15000);
    auto waiting = f.sendRequest("a", 15000);
    f.now += Seconds(6);
    f.scheduler.onTick(f.now);
    auto refusals = f.takeRefusals();
    cr_assert(refusals.size() == 1);
    cr_expect(refusals[0].id == waiting);
    cr_expect(refusals[0].code == ErrorCode::DeadlineExceeded);
}

Test(PoolScheduler, fullQueue_shedsNewestRequestOfLargestOrganisation)
{
    PoolScheduler scheduler(PoolSchedulerOptions { .maxWaiting = 3 });
    TimePoint now = TimePoint {} + Seconds(1);
    auto push = [&](std::uint64_t sequence, const char* organisation) {
        scheduler.onRequest({ .id = { .instance = 1, .sequence = sequence }, .organisation = organisation, .service = "s", .promptTokens = 10 }, now);
    };
    push(1, "modest");
    push(2, "flood");
    push(3, "flood");
    push(4, "flood");
    auto actions = scheduler.takeActions();
    cr_assert(actions.size() == 1);
    auto* refusal = std::get_if<Refusal>(&actions[0]);
    cr_assert(refusal);
    cr_expect(refusal->id.sequence == 4, "the newest request of the largest organisation is shed");
    cr_expect(refusal->code == ErrorCode::Overloaded);
    cr_expect(refusal->retryAfter >= Seconds(1));
}

Test(PoolScheduler, preemptedGeneration_isProtectedAndEngineGetsNoNewGenerations)
{
    PoolSchedulerFixture f(1);
    auto id = f.sendRequest("a");
    f.takeGrants();
    f.scheduler.onProgress(id, 10, true, f.now);
    auto actions = f.scheduler.takeActions();
    cr_assert(actions.size() == 1 && std::holds_alternative<SetPriority>(actions[0]));
    f.sendRequest("b");
    cr_expect(f.takeGrants().empty(), "memory that a preempted generation will use again is not available");
    f.scheduler.onProgress(id, 11, false, f.now);
    f.scheduler.onTick(f.now + Milliseconds(50));
    cr_expect(f.takeGrants().size() == 1);
}

Test(PoolScheduler, memoryUsedByOtherOwnersGenerations_isTakenFromLoadReport)
{
    // [GIVEN] an engine whose memory is nearly full of generations that another owner granted
    PoolSchedulerFixture f(1);
    f.reportLoad("engine-0", 15900);
    auto first = f.sendRequest("a", 500);
    auto second = f.sendRequest("a", 500);
    auto grants = f.takeGrants();
    // [THEN] at most the first request is granted, since this owner has no running generation on the engine
    cr_expect(grants.size() <= 1);
    cr_expect(std::none_of(grants.begin(), grants.end(), [&](const Grant& grant) { return grant.id == second; }));
    (void)first;
}

Test(PoolScheduler, adoptedGeneration_countsInEngineMemory)
{
    PoolSchedulerFixture f(1);
    f.scheduler.adopt({ .id = { .instance = 9, .sequence = 1 }, .organisation = "a", .service = "drafts", .promptTokens = 15500, .maxTokens = 4096 }, "engine-0", 100, f.now);
    f.sendRequest("a", 2000);
    cr_expect(f.takeGrants().empty());
    cr_expect(f.scheduler.running() == 1);
}

Test(PoolScheduler, failingEngine_isEjectedThenProbedThenReadmitted)
{
    PoolSchedulerFixture f;
    for (int i = 0; i < 3; ++i) {
        auto id = f.sendRequest("a");
        auto grants = f.takeGrants();
        cr_assert(grants.size() == 1);
        bool failing = grants[0].engine == "engine-0";
        f.scheduler.onFinished(id, 0, failing ? GenerationOutcome::EngineFailed : GenerationOutcome::Cancelled, f.now);
        if (!failing)
            --i;
        f.scheduler.setEngines({ { .name = "engine-0" }, { .name = "engine-1", .accepting = failing } });
    }
    f.scheduler.setEngines({ { .name = "engine-0" } });
    f.sendRequest("a");
    cr_expect(f.takeGrants().empty(), "an ejected engine receives no generation");
    f.now += Seconds(3);
    f.scheduler.onTick(f.now);
    auto probe = f.takeGrants();
    cr_assert(probe.size() == 1);
    cr_expect(probe[0].reason == GrantReason::Probe);
    f.scheduler.onFinished(probe[0].id, 5, GenerationOutcome::Completed, f.now);
    f.sendRequest("a");
    f.sendRequest("a");
    cr_expect(f.takeGrants().size() == 2);
}

Test(PoolScheduler, cachedPrefix_isPreferredUntilLoadOutweighsIt)
{
    PoolSchedulerFixture f;
    std::vector<std::uint64_t> prefix;
    for (std::uint64_t i = 0; i < 60; ++i)
        prefix.push_back(1000 + i);
    for (auto block : prefix)
        f.scheduler.onCacheEvent("engine-1", block, true);
    f.scheduler.onRequest({ .id = { .instance = 1, .sequence = 1 }, .organisation = "a", .service = "s", .promptTokens = 1000, .maxTokens = 100, .prefixBlocks = prefix }, f.now);
    auto grants = f.takeGrants();
    cr_assert(grants.size() == 1);
    cr_expect(grants[0].engine == "engine-1");
    cr_expect(grants[0].reason == GrantReason::PrefixCached);
    // [WHEN] that engine is nearly full [THEN] the other engine is chosen despite the cached prefix
    f.reportLoad("engine-1", 15000);
    f.scheduler.onRequest({ .id = { .instance = 1, .sequence = 2 }, .organisation = "a", .service = "s", .promptTokens = 1000, .maxTokens = 100, .prefixBlocks = prefix }, f.now);
    grants = f.takeGrants();
    cr_assert(grants.size() == 1);
    cr_expect(grants[0].engine == "engine-0");
}

Test(PoolScheduler, repeatedRequest_repeatsGrantWithoutSecondGeneration)
{
    PoolSchedulerFixture f(1);
    PermitRequest request { .id = { .instance = 1, .sequence = 7 }, .organisation = "a", .service = "s", .promptTokens = 10, .maxTokens = 100 };
    f.scheduler.onRequest(request, f.now);
    auto first = f.takeGrants();
    f.scheduler.onRequest(request, f.now);
    auto second = f.takeGrants();
    cr_assert(first.size() == 1 && second.size() == 1);
    cr_expect(first[0].engine == second[0].engine);
    cr_expect(f.scheduler.running() == 1);
}

Test(PoolScheduler, unrenewedPermit_expires)
{
    PoolSchedulerFixture f(1);
    auto unrenewed = f.sendRequest("a");
    auto renewed = f.sendRequest("a");
    f.now += Seconds(20);
    cr_expect(f.scheduler.onRenewed(renewed, 5, f.now));
    f.scheduler.expireUnrenewed(f.now - Seconds(16), f.now);
    cr_expect_not(f.scheduler.onRenewed(unrenewed, 5, f.now));
    cr_expect(f.scheduler.running() == 1);
}

Test(PoolScheduler, engineNearOverflow_lowersPriorityOfOneLargeGenerationOnce)
{
    // [GIVEN] an engine that is nearly full, with one large and several small generations
    PoolSchedulerFixture f(1);
    auto large = f.sendRequest("a", 5000);
    for (int i = 0; i < 8; ++i)
        f.sendRequest("a", 1100);
    f.takeGrants();
    f.scheduler.onProgress(large, 10, false, f.now);
    // [WHEN] the scheduler ticks
    auto takePriorityChanges = [&] {
        std::vector<SetPriority> result;
        for (const auto& action : f.scheduler.takeActions()) {
            if (const auto* change = std::get_if<SetPriority>(&action))
                result.push_back(*change);
        }
        return result;
    };
    f.scheduler.onTick(f.now += Milliseconds(50));
    auto changesNearOverflow = takePriorityChanges();
    // [THEN] only the large generation's priority is lowered below the others', once; after its preemption it is raised above them
    cr_assert(changesNearOverflow.size() == 1);
    cr_expect(changesNearOverflow[0].id == large && changesNearOverflow[0].priority == 0);
    f.scheduler.onTick(f.now += Milliseconds(50));
    cr_expect(takePriorityChanges().empty());
    f.scheduler.onProgress(large, 11, true, f.now);
    auto changesAfterPreemption = takePriorityChanges();
    cr_assert(changesAfterPreemption.size() == 1);
    cr_expect(changesAfterPreemption[0].id == large && changesAfterPreemption[0].priority > 2);
    f.scheduler.onTick(f.now += Milliseconds(50));
    for (const auto& change : takePriorityChanges())
        cr_expect(change.id != large, "a preempted generation is not chosen again");
}
