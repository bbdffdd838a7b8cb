#include "handover/shutdownpollschedule.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

struct WatchFixture {
    ShutdownPollSchedule watch;
    TimePoint now { Seconds(10) };
    StoreView view;
    std::set<std::string> busy { "a", "b" };

    std::vector<std::string> due() { return watch.due(busy, view, now); }
};

}

Test(ShutdownPollSchedule, currentView_asksNobody)
{
    WatchFixture f;
    f.view.age = Milliseconds(2300);
    cr_expect(f.due().empty(), "a follower's copy gets this old while all is well");
}

Test(ShutdownPollSchedule, storeDownForSeconds_asksEachBusyEngineSeveralTimesASecond)
{
    WatchFixture f;
    f.view = { .reachable = false, .age = Milliseconds(1000) };
    std::map<std::string, int> asked;
    for (int i = 0; i < 20; ++i) {
        for (const auto& engine : f.due())
            ++asked[engine];
        f.now += Milliseconds(100);
    }
    cr_expect(asked["a"] >= 6 && asked["a"] <= 7, "asked %d times in two seconds", asked["a"]);
    cr_expect(asked["b"] == asked["a"]);
}

Test(ShutdownPollSchedule, noticeOfAReclaimedEngine_isAskedForWithinItsNotice)
{
    WatchFixture f;
    f.view = { .reachable = true, .age = Milliseconds(2500) };
    f.due();
    // The engine begins to leave just after it answered, and its answer lags by half a second.
    f.now += Milliseconds(500);
    cr_expect(!f.due().empty());
}

Test(ShutdownPollSchedule, engineWithoutWork_isNotAsked)
{
    WatchFixture f;
    f.view.age = Seconds(5);
    f.busy = { "a" };
    cr_expect(f.due() == std::vector<std::string> { "a" });
    f.busy.clear();
    f.now += Seconds(1);
    cr_expect(f.due().empty());
}
