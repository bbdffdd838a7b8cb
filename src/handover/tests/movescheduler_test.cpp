#include "handover/movescheduler.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

struct SchedulerFixture {
    MoveScheduler scheduler;
    TimePoint now { Seconds(10) };
    std::vector<std::string> destinations { "d1", "d2", "d3" };

    void add(const std::string& key, const std::string& source, int remainingTokens, std::set<std::string> excludedDestinations = {})
    {
        scheduler.add({ .key = key, .source = source, .tokensHeld = 3000, .expectedRemainingTokens = remainingTokens, .excludedDestinations = std::move(excludedDestinations) }, now);
    }

    std::vector<ScheduledMove> schedule()
    {
        auto chooseDestination = [this](const PendingMove&, const std::set<std::string>& excluded) -> std::optional<std::string> {
            for (const auto& destination : destinations) {
                if (excluded.count(destination) == 0)
                    return destination;
            }
            return std::nullopt;
        };
        return scheduler.schedule(chooseDestination, now);
    }
};

}

Test(MoveScheduler, generationsOfOneEngine_moveOneAtATimeLongestFirst)
{
    SchedulerFixture f;
    f.add("short", "s1", 100);
    f.add("long", "s1", 900);
    auto first = f.schedule();
    cr_assert(first.size() == 1);
    cr_expect(first[0].key == "long");
    cr_expect(f.schedule().empty(), "the engine's link is busy");
    f.scheduler.remove("long");
    auto second = f.schedule();
    cr_assert(second.size() == 1);
    cr_expect(second[0].key == "short");
}

Test(MoveScheduler, crowdedEngineWithShortNotice_movesAllButTheLargest)
{
    SchedulerFixture f;
    struct Generation {
        const char* key;
        int tokensHeld;
        int remainingTokens;
    };
    // Copying 18 tokens takes 1 ms; the engine shuts down after 1.5 s.
    const std::vector<Generation> generations { { "a", 6900, 800 }, { "b", 6400, 760 }, { "c", 5600, 700 }, { "d", 3600, 500 }, { "e", 3300, 450 }, { "f", 3000, 400 }, { "g", 2700, 300 }, { "h", 2500, 40 } };
    std::map<std::string, int> tokensOf;
    for (const auto& generation : generations) {
        f.scheduler.add({ .key = generation.key, .source = "s1", .tokensHeld = generation.tokensHeld, .expectedRemainingTokens = generation.remainingTokens }, f.now);
        tokensOf[generation.key] = generation.tokensHeld;
    }
    auto shutdownAt = f.now + Milliseconds(1500);
    std::set<std::string> moved { "h" };
    while (true) {
        auto moves = f.schedule();
        if (moves.empty())
            break;
        f.now += Milliseconds(tokensOf.at(moves[0].key) / 18);
        if (f.now > shutdownAt)
            break;
        moved.insert(moves[0].key);
        f.scheduler.remove(moves[0].key);
    }
    cr_expect(moved.size() >= 7, "%zu of 8 generations continue, including the one that finishes before the shutdown", moved.size());
}

Test(MoveScheduler, generationThatMayFinishBeforeShutdown_movesAfterLongerOnes)
{
    SchedulerFixture f;
    f.scheduler.add({ .key = "ending", .source = "s1", .tokensHeld = 1000, .expectedRemainingTokens = 60 }, f.now);
    f.scheduler.add({ .key = "staying", .source = "s1", .tokensHeld = 6000, .expectedRemainingTokens = 600 }, f.now);
    auto moves = f.schedule();
    cr_assert(moves.size() == 1);
    cr_expect(moves[0].key == "staying");
}

Test(MoveScheduler, enginesShuttingDownTogether_useDifferentDestinations)
{
    SchedulerFixture f;
    f.add("a", "s1", 100);
    f.add("b", "s2", 100);
    auto moves = f.schedule();
    cr_assert(moves.size() == 2);
    cr_expect(moves[0].destination != moves[1].destination);
}

Test(MoveScheduler, excludedDestination_isNotChosen)
{
    SchedulerFixture f;
    f.add("a", "s1", 100, { "d1", "d2" });
    auto moves = f.schedule();
    cr_assert(moves.size() == 1);
    cr_expect(moves[0].destination == "d3");
}

Test(MoveScheduler, noFreeDestination_waitsUntilOneIsFree)
{
    SchedulerFixture f;
    f.destinations = { "d1" };
    f.add("a", "s1", 200);
    f.add("b", "s2", 100);
    cr_expect(f.schedule().size() == 1);
    cr_expect(f.scheduler.queueLength() == 1);
    f.scheduler.remove("a");
    cr_expect(f.schedule().size() == 1);
}

Test(MoveScheduler, moveThatExceedsMaxDuration_expires)
{
    SchedulerFixture f;
    f.add("a", "s1", 200);
    f.schedule();
    f.now += Seconds(2);
    auto expired = f.scheduler.expire(f.now);
    cr_assert(expired.size() == 1);
    cr_expect(expired[0] == "a");
    f.add("b", "s1", 100);
    cr_expect(f.schedule().size() == 1);
}

Test(MoveScheduler, queuedMoveThatIsNotQueriedAgain_isRemoved)
{
    SchedulerFixture f;
    f.destinations.clear();
    f.add("a", "s1", 200);
    f.now += Seconds(1);
    f.scheduler.expire(f.now);
    cr_expect(f.scheduler.queueLength() == 0);
}

/// With little time left only some copies arrive; the link was spent on generations that had nearly ended, or on a copy that came too late.
Test(MoveScheduler, shutdownHeardLate_longestRemainingMoveFirstAndHopelessOnesLast)
{
    SchedulerFixture f;
    auto add = [&](const std::string& key, int tokensHeld, int remainingTokens) {
        f.scheduler.add({ .key = key, .source = "s1", .tokensHeld = tokensHeld, .expectedRemainingTokens = remainingTokens, .copyTime = Milliseconds(tokensHeld / 18), .shutdownAt = f.now + Milliseconds(400) }, f.now);
    };
    add("small", 2400, 100);
    add("long", 3600, 700);
    add("hopeless", 9000, 900);
    add("ending", 2300, 20);
    cr_expect(f.scheduler.queuedTokens([](const PendingMove&) { return true; }, f.now) == 2400 + 3600 + 2300, "no room is kept for what cannot arrive");
    std::vector<std::string> order;
    for (auto moves = f.schedule(); !moves.empty(); moves = f.schedule()) {
        order.push_back(moves[0].key);
        f.scheduler.remove(moves[0].key);
    }
    const std::vector<std::string> expected { "long", "small", "ending", "hopeless" };
    cr_expect(order == expected);
}
