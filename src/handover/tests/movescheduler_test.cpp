#include "handover/movescheduler.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

struct TurnsFixture {
    MoveScheduler turns;
    TimePoint now { Seconds(10) };
    std::vector<std::string> destinations { "d1", "d2", "d3" };

    void ask(const std::string& key, const std::string& source, int remaining, std::set<std::string> excluded = {})
    {
        turns.ask({ .key = key, .source = source, .tokensHeld = 3000, .expectedRemainingTokens = remaining, .excluded = std::move(excluded) }, now);
    }

    std::vector<ScheduledMove> grant()
    {
        auto choose = [this](const PendingMove&, const std::set<std::string>& excluded) -> std::optional<std::string> {
            for (const auto& destination : destinations) {
                if (excluded.count(destination) == 0)
                    return destination;
            }
            return std::nullopt;
        };
        return turns.grant(choose, now);
    }
};

}

Test(MoveScheduler, severalGenerationsOfOneEngine_moveOneAfterTheOtherLongestFirst)
{
    TurnsFixture f;
    f.ask("short", "s1", 100);
    f.ask("long", "s1", 900);
    auto first = f.grant();
    cr_assert(first.size() == 1);
    cr_expect(first[0].key == "long");
    cr_expect(f.grant().empty(), "the engine's link is busy");
    f.turns.end("long");
    auto second = f.grant();
    cr_assert(second.size() == 1);
    cr_expect(second[0].key == "short");
}

Test(MoveScheduler, crowdedEngineWithShortNotice_savesAllButTheLargest)
{
    TurnsFixture f;
    struct Run {
        const char* key;
        int tokensHeld;
        int remaining;
    };
    // A copy takes 1 ms for 18 tokens; the engine is gone after 1.5 s.
    const std::vector<Run> runs { { "a", 6900, 800 }, { "b", 6400, 760 }, { "c", 5600, 700 }, { "d", 3600, 500 }, { "e", 3300, 450 }, { "f", 3000, 400 }, { "g", 2700, 300 }, { "h", 2500, 40 } };
    std::map<std::string, int> tokensOf;
    for (const auto& run : runs) {
        f.turns.ask({ .key = run.key, .source = "s1", .tokensHeld = run.tokensHeld, .expectedRemainingTokens = run.remaining }, f.now);
        tokensOf[run.key] = run.tokensHeld;
    }
    auto gone = f.now + Milliseconds(1500);
    std::set<std::string> saved { "h" };
    while (true) {
        auto turns = f.grant();
        if (turns.empty())
            break;
        f.now += Milliseconds(tokensOf.at(turns[0].key) / 18);
        if (f.now > gone)
            break;
        saved.insert(turns[0].key);
        f.turns.end(turns[0].key);
    }
    cr_expect(saved.size() >= 7, "%zu of 8 go on, the one that ends by itself included", saved.size());
}

Test(MoveScheduler, generationThatMayEndByItself_waitsForThoseThatCannot)
{
    TurnsFixture f;
    f.turns.ask({ .key = "ending", .source = "s1", .tokensHeld = 1000, .expectedRemainingTokens = 60 }, f.now);
    f.turns.ask({ .key = "staying", .source = "s1", .tokensHeld = 6000, .expectedRemainingTokens = 600 }, f.now);
    auto turns = f.grant();
    cr_assert(turns.size() == 1);
    cr_expect(turns[0].key == "staying");
}

Test(MoveScheduler, enginesLeavingTogether_useDifferentDestinations)
{
    TurnsFixture f;
    f.ask("a", "s1", 100);
    f.ask("b", "s2", 100);
    auto turns = f.grant();
    cr_assert(turns.size() == 2);
    cr_expect(turns[0].destination != turns[1].destination);
}

Test(MoveScheduler, destinationThatRefused_isNotChosenAgain)
{
    TurnsFixture f;
    f.ask("a", "s1", 100, { "d1", "d2" });
    auto turns = f.grant();
    cr_assert(turns.size() == 1);
    cr_expect(turns[0].destination == "d3");
}

Test(MoveScheduler, noDestinationLeft_waitsUntilOneIsFree)
{
    TurnsFixture f;
    f.destinations = { "d1" };
    f.ask("a", "s1", 200);
    f.ask("b", "s2", 100);
    cr_expect(f.grant().size() == 1);
    cr_expect(f.turns.queueLength() == 1);
    f.turns.end("a");
    cr_expect(f.grant().size() == 1);
}

Test(MoveScheduler, holderThatDied_losesItsTurn)
{
    TurnsFixture f;
    f.ask("a", "s1", 200);
    f.grant();
    f.now += Seconds(2);
    auto ended = f.turns.expire(f.now);
    cr_assert(ended.size() == 1);
    cr_expect(ended[0] == "a");
    f.ask("b", "s1", 100);
    cr_expect(f.grant().size() == 1);
}

Test(MoveScheduler, askThatIsNotRepeated_isForgotten)
{
    TurnsFixture f;
    f.destinations.clear();
    f.ask("a", "s1", 200);
    f.now += Seconds(1);
    f.turns.expire(f.now);
    cr_expect(f.turns.queueLength() == 0);
}
