#include "common/standstilllog.h"

#include <criterion/criterion.h>
#include <vector>

using namespace guavaspan;

namespace {

constexpr auto interval = Milliseconds(100);

/// A process that gives a sign of life each 100 ms, except while it stands still.
struct StandstillFixture {
    void run(BootClock::duration duration)
    {
        for (auto end = now + duration; now < end;) {
            now += interval;
            log.onRunning(now);
        }
    }

    void standStill(BootClock::duration duration) { now += duration; }

    BootTime now { Seconds(100) };
    StandstillLog log { Milliseconds(350), now };
};

}

/// Guards against LOST: a stop signal that waited during a standstill was taken for one that the host had just sent.
Test(StandstillLog, eventArrivesAfterAStandstill_mayBeAsOldAsItsBegin)
{
    StandstillFixture f;
    f.run(Seconds(1));
    auto lastSign = f.now;
    f.standStill(Seconds(4));
    auto arrivedAt = f.now;
    cr_expect(f.log.onRunning(f.now) == (Standstill { .beganAt = lastSign, .endedAt = f.now }));
    cr_expect(f.log.earliestCauseOf(arrivedAt) == lastSign);
}

/// Guards against LOST: a timer that fired before the signal was handled hid the standstill.
Test(StandstillLog, timersRunBeforeTheEventIsHandled_itMayStillBeAsOldAsTheStandstill)
{
    StandstillFixture f;
    auto lastSign = f.now;
    f.standStill(Seconds(4));
    auto arrivedAt = f.now;
    f.log.onRunning(f.now);
    f.run(5 * interval);
    cr_expect(f.log.earliestCauseOf(arrivedAt) == lastSign);
}

/// Guards against requests that are refused although a signal that came just after a standstill leaves them all of its time.
Test(StandstillLog, eventArrivesAfterTheFirstSignOfLife_isNew)
{
    StandstillFixture f;
    f.standStill(Seconds(4));
    f.log.onRunning(f.now);
    auto justAfter = f.now + Milliseconds(1);
    cr_expect(f.log.earliestCauseOf(justAfter) == justAfter);
    f.run(3 * interval);
    cr_expect(f.log.earliestCauseOf(f.now) == f.now);
}

/// The handler of a signal that arrived in time may wait until a standstill that came later is over.
Test(StandstillLog, standstillBeginsAfterTheEvent_eventIsNew)
{
    StandstillFixture f;
    f.run(Seconds(1));
    auto arrivedAt = f.now;
    f.standStill(Seconds(4));
    f.log.onRunning(f.now);
    cr_expect(f.log.earliestCauseOf(arrivedAt) == arrivedAt);
}

Test(StandstillLog, standstillsInQuickSuccession_eventWaitedForTheOneInWhichItArrived)
{
    StandstillFixture f;
    std::vector<BootTime> beginnings;
    std::vector<BootTime> arrivals;
    for (int i = 0; i < 3; ++i) {
        beginnings.push_back(f.now);
        f.standStill(Seconds(1));
        arrivals.push_back(f.now);
        f.log.onRunning(f.now);
        f.now += Milliseconds(1);
        f.log.onRunning(f.now);
    }
    for (std::size_t i = 0; i < arrivals.size(); ++i)
        cr_expect(f.log.earliestCauseOf(arrivals[i]) == beginnings[i]);
}

Test(StandstillLog, lateTimers_areNoStandstill)
{
    StandstillFixture f;
    f.run(Seconds(1));
    f.standStill(Milliseconds(300));
    cr_expect_not(f.log.onRunning(f.now).has_value());
    cr_expect(f.log.earliestCauseOf(f.now) == f.now);
}
