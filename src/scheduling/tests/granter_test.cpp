#include "scheduling/granter.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

struct GranterFixture {
    Granter granter { GranterOptions { .maxOverflowRisk = 0.2 } };
    TimePoint now = TimePoint {} + Seconds(1);
    std::uint64_t sequence = 0;

    explicit GranterFixture(int engines = 2)
    {
        std::vector<EngineInfo> infos;
        for (int i = 0; i < engines; ++i)
            infos.push_back({ .name = "engine-" + std::to_string(i) });
        granter.setEngines(infos);
        granter.onTick(now);
    }

    PermitId ask(const std::string& organisation, int promptTokens = 100, double weight = 1)
    {
        PermitRequest request { .id = { .instance = 1, .sequence = ++sequence }, .organisation = organisation, .service = "drafts", .weight = weight, .promptTokens = promptTokens, .maxTokens = 4096, .maxWait = Seconds(5) };
        auto id = request.id;
        granter.onRequest(std::move(request), now);
        return id;
    }

    std::vector<Grant> grants()
    {
        std::vector<Grant> found;
        for (const auto& action : granter.takeActions()) {
            if (const auto* grant = std::get_if<Grant>(&action))
                found.push_back(*grant);
        }
        return found;
    }

    std::vector<Refusal> refusals()
    {
        std::vector<Refusal> found;
        for (const auto& action : granter.takeActions()) {
            if (const auto* refusal = std::get_if<Refusal>(&action))
                found.push_back(*refusal);
        }
        return found;
    }

    void report(const std::string& engine, int used, int waiting = 0, double step = 0.02)
    {
        granter.onLoadReport(engine, { .measuredAt = now, .tokensCapacity = 16000, .tokensUsed = used, .running = 1, .waiting = waiting, .stepSeconds = step }, now);
    }
};

}

Test(Granter, freeEngines_grantAtOnce)
{
    GranterFixture f;
    f.ask("a");
    cr_expect(f.grants().size() == 1);
}

Test(Granter, fullEngines_holdRequestUntilOneFinishes)
{
    // [GIVEN] two engines whose memory long prompts fill
    GranterFixture f;
    auto first = f.ask("a", 14000);
    f.ask("a", 14000);
    auto third = f.ask("a", 14000);
    cr_assert(f.grants().size() == 2);
    // [WHEN] one ends
    f.granter.onFinished(first, 10, FinishKind::Completed, f.now);
    // [THEN] the third starts, on its engine
    auto grants = f.grants();
    cr_assert(grants.size() == 1);
    cr_expect(grants[0].id == third);
}

Test(Granter, leavingEngine_getsNothingNew)
{
    GranterFixture f;
    f.granter.setEngines({ { .name = "engine-0", .accepting = false }, { .name = "engine-1" } });
    for (int i = 0; i < 5; ++i)
        f.ask("a");
    for (const auto& grant : f.grants())
        cr_expect(grant.engine == "engine-1");
}

Test(Granter, removedEngine_keepsRecordUntilItsLastGenerationEnds)
{
    GranterFixture f(1);
    auto id = f.ask("a");
    f.granter.setEngines({});
    f.granter.onProgress(id, 5, false, f.now);
    f.granter.onFinished(id, 6, FinishKind::Completed, f.now);
    cr_expect(f.granter.running() == 0);
}

Test(Granter, waitingBeyondLimit_isRefusedAtOnce)
{
    GranterFixture f(1);
    f.ask("a", 15000);
    auto waiting = f.ask("a", 15000);
    f.now += Seconds(6);
    f.granter.onTick(f.now);
    auto refusals = f.refusals();
    cr_assert(refusals.size() == 1);
    cr_expect(refusals[0].id == waiting);
    cr_expect(refusals[0].code == ErrorCode::DeadlineExceeded);
}

Test(Granter, overfullQueue_shedsNewestOfWhoeverHoldsMostOfIt)
{
    Granter granter(GranterOptions { .maxWaiting = 3 });
    TimePoint now = TimePoint {} + Seconds(1);
    auto push = [&](std::uint64_t sequence, const char* organisation) {
        granter.onRequest({ .id = { .instance = 1, .sequence = sequence }, .organisation = organisation, .service = "s", .promptTokens = 10 }, now);
    };
    push(1, "modest");
    push(2, "flood");
    push(3, "flood");
    push(4, "flood");
    auto actions = granter.takeActions();
    cr_assert(actions.size() == 1);
    auto* refusal = std::get_if<Refusal>(&actions[0]);
    cr_assert(refusal);
    cr_expect(refusal->id.sequence == 4, "the flood's newest goes, the modest organisation's stays");
    cr_expect(refusal->code == ErrorCode::Overloaded);
    cr_expect(refusal->retryAfter >= Seconds(1));
}

Test(Granter, displacedGeneration_isProtectedAndEngineGetsNothingNew)
{
    GranterFixture f(1);
    auto id = f.ask("a");
    f.grants();
    f.granter.onProgress(id, 10, true, f.now);
    auto actions = f.granter.takeActions();
    cr_assert(actions.size() == 1 && std::holds_alternative<SetPriority>(actions[0]));
    f.ask("b");
    cr_expect(f.grants().empty(), "room that a displaced generation will claim is not room");
    f.granter.onProgress(id, 11, false, f.now);
    f.granter.onTick(f.now + Milliseconds(50));
    cr_expect(f.grants().size() == 1);
}

Test(Granter, workPlacedByAnotherOwner_isSeenInTheReportAndCounted)
{
    // [GIVEN] an engine that somebody else has filled
    GranterFixture f(1);
    f.report("engine-0", 15900);
    auto first = f.ask("a", 500);
    auto second = f.ask("a", 500);
    auto grants = f.grants();
    // [THEN] at most the first, for which an engine that looks empty of our own work is open
    cr_expect(grants.size() <= 1);
    cr_expect(std::none_of(grants.begin(), grants.end(), [&](const Grant& grant) { return grant.id == second; }));
    (void)first;
}

Test(Granter, adoptedGeneration_countsAgainstItsEngine)
{
    GranterFixture f(1);
    f.granter.adopt({ .id = { .instance = 9, .sequence = 1 }, .organisation = "a", .service = "drafts", .promptTokens = 15500, .maxTokens = 4096 }, "engine-0", 100, f.now);
    f.ask("a", 2000);
    cr_expect(f.grants().empty());
    cr_expect(f.granter.running() == 1);
}

Test(Granter, failingEngine_isEjectedThenProbedThenReadmitted)
{
    GranterFixture f;
    for (int i = 0; i < 3; ++i) {
        auto id = f.ask("a");
        auto grants = f.grants();
        cr_assert(grants.size() == 1);
        bool failing = grants[0].engine == "engine-0";
        f.granter.onFinished(id, 0, failing ? FinishKind::EngineFailed : FinishKind::Cancelled, f.now);
        if (!failing)
            --i;
        f.granter.setEngines({ { .name = "engine-0" }, { .name = "engine-1", .accepting = failing } });
    }
    f.granter.setEngines({ { .name = "engine-0" } });
    f.ask("a");
    cr_expect(f.grants().empty(), "an ejected engine gets nothing");
    f.now += Seconds(3);
    f.granter.onTick(f.now);
    auto probe = f.grants();
    cr_assert(probe.size() == 1);
    cr_expect(probe[0].reason == GrantReason::Probe);
    f.granter.onFinished(probe[0].id, 5, FinishKind::Completed, f.now);
    f.ask("a");
    f.ask("a");
    cr_expect(f.grants().size() == 2);
}

Test(Granter, cachedPrefix_drawsRequestsUntilLoadOutweighsIt)
{
    GranterFixture f;
    std::vector<std::uint64_t> prefix;
    for (std::uint64_t i = 0; i < 60; ++i)
        prefix.push_back(1000 + i);
    for (auto block : prefix)
        f.granter.onCacheEvent("engine-1", block, true);
    f.granter.onRequest({ .id = { .instance = 1, .sequence = 1 }, .organisation = "a", .service = "s", .promptTokens = 1000, .maxTokens = 100, .prefixBlocks = prefix }, f.now);
    auto grants = f.grants();
    cr_assert(grants.size() == 1);
    cr_expect(grants[0].engine == "engine-1");
    cr_expect(grants[0].reason == GrantReason::PrefixCached);
    // [WHEN] that engine is nearly full [THEN] the other one is better in spite of the prefix
    f.report("engine-1", 15000);
    f.granter.onRequest({ .id = { .instance = 1, .sequence = 2 }, .organisation = "a", .service = "s", .promptTokens = 1000, .maxTokens = 100, .prefixBlocks = prefix }, f.now);
    grants = f.grants();
    cr_assert(grants.size() == 1);
    cr_expect(grants[0].engine == "engine-0");
}

Test(Granter, askedAgain_repeatsTheAnswerAndGrantsOnce)
{
    GranterFixture f(1);
    PermitRequest request { .id = { .instance = 1, .sequence = 7 }, .organisation = "a", .service = "s", .promptTokens = 10, .maxTokens = 100 };
    f.granter.onRequest(request, f.now);
    auto first = f.grants();
    f.granter.onRequest(request, f.now);
    auto second = f.grants();
    cr_assert(first.size() == 1 && second.size() == 1);
    cr_expect(first[0].engine == second[0].engine);
    cr_expect(f.granter.running() == 1);
}

Test(Granter, permitNobodyNames_ends)
{
    GranterFixture f(1);
    auto lost = f.ask("a");
    auto kept = f.ask("a");
    f.now += Seconds(20);
    cr_expect(f.granter.onHeld(kept, 5, f.now));
    f.granter.expireUnheld(f.now - Seconds(16), f.now);
    cr_expect_not(f.granter.onHeld(lost, 5, f.now));
    cr_expect(f.granter.running() == 1);
}

Test(Granter, engineNearOverflow_designatesOneLargeGenerationOnce)
{
    // [GIVEN] an engine that is nearly full, with one large and several small generations
    GranterFixture f(1);
    auto large = f.ask("a", 5000);
    for (int i = 0; i < 8; ++i)
        f.ask("a", 1100);
    f.grants();
    f.granter.onProgress(large, 10, false, f.now);
    // [WHEN] time passes
    auto lowered = [&] {
        std::vector<SetPriority> found;
        for (const auto& action : f.granter.takeActions()) {
            if (const auto* change = std::get_if<SetPriority>(&action))
                found.push_back(*change);
        }
        return found;
    };
    f.granter.onTick(f.now += Milliseconds(50));
    auto first = lowered();
    // [THEN] it alone is put below the others, and after a displacement above them
    cr_assert(first.size() == 1);
    cr_expect(first[0].id == large && first[0].priority == 0);
    f.granter.onTick(f.now += Milliseconds(50));
    cr_expect(lowered().empty());
    f.granter.onProgress(large, 11, true, f.now);
    auto raised = lowered();
    cr_assert(raised.size() == 1);
    cr_expect(raised[0].id == large && raised[0].priority > 2);
    f.granter.onTick(f.now += Milliseconds(50));
    for (const auto& change : lowered())
        cr_expect(change.id != large, "nobody is designated twice");
}
