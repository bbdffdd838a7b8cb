#include "handover/shutdownpollschedule.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

struct PollFixture {
    ShutdownPollSchedule schedule;
    TimePoint now { Seconds(10) };
    StoreView view;
    std::set<std::string> enginesInUse { "a", "b" };
    std::set<std::string> withoutEntry;

    std::vector<std::string> due() { return schedule.due(enginesInUse, withoutEntry, view, now); }
};

}

Test(ShutdownPollSchedule, currentStoreView_pollsNoEngine)
{
    PollFixture f;
    f.view.age = Milliseconds(2300);
    cr_expect(f.due().empty(), "a follower's copy reaches this age in normal operation");
}

Test(ShutdownPollSchedule, unreachableStore_pollsEachEngineInUseSeveralTimesASecond)
{
    PollFixture f;
    f.view = { .reachable = false, .age = Milliseconds(1000) };
    std::map<std::string, int> polls;
    for (int i = 0; i < 20; ++i) {
        for (const auto& engine : f.due())
            ++polls[engine];
        f.now += Milliseconds(100);
    }
    cr_expect(polls["a"] >= 6 && polls["a"] <= 7, "polled %d times in two seconds", polls["a"]);
    cr_expect(polls["b"] == polls["a"]);
}

Test(ShutdownPollSchedule, staleStoreView_pollsAgainWithinShortestNotice)
{
    PollFixture f;
    f.view = { .reachable = true, .age = Milliseconds(2500) };
    f.due();
    // The engine starts to shut down just after a poll, and its reported status lags by half a second.
    f.now += Milliseconds(500);
    cr_expect(!f.due().empty());
}

Test(ShutdownPollSchedule, engineWithoutGenerations_isNotPolled)
{
    PollFixture f;
    f.view.age = Seconds(5);
    f.enginesInUse = { "a" };
    cr_expect(f.due() == std::vector<std::string> { "a" });
    f.enginesInUse.clear();
    f.now += Seconds(1);
    cr_expect(f.due().empty());
}

// Guards against streams that break because an engine's last notice, the removal of its entry, coincides with an outage of the store.
Test(ShutdownPollSchedule, entryMissingAfterOutage_pollsOnlyThisEngine)
{
    PollFixture f;
    f.view = { .reachable = true, .age = Milliseconds(100) };
    f.withoutEntry = { "b" };
    cr_expect(f.due() == std::vector<std::string> { "b" });
    cr_expect(f.due().empty(), "polled twice at once");
    f.now += Milliseconds(400);
    cr_expect(f.due() == std::vector<std::string> { "b" });
}
