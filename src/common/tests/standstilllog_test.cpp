#include "common/standstilllog.h"

#include <criterion/criterion.h>

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
    StandstillLog log { { .minLength = Milliseconds(350), .settlingTime = Milliseconds(100) }, now };
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

/// Guards against LOST: a timer that fired before the signal's handler hid the standstill.
Test(StandstillLog, timersRunBeforeTheEvent_itMayStillBeAsOldAsTheStandstill)
{
    StandstillFixture f;
    auto lastSign = f.now;
    f.standStill(Seconds(4));
    f.log.onRunning(f.now);
    f.run(interval);
    cr_expect(f.log.earliestCauseOf(f.now) == lastSign);
}

Test(StandstillLog, eventArrivesLongAfterAStandstill_isNew)
{
    StandstillFixture f;
    f.standStill(Seconds(4));
    f.log.onRunning(f.now);
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

Test(StandstillLog, standstillsInQuickSuccession_eventMayBeAsOldAsTheFirst)
{
    StandstillFixture f;
    auto lastSign = f.now;
    for (int i = 0; i < 3; ++i) {
        f.standStill(Seconds(1));
        f.log.onRunning(f.now);
    }
    cr_expect(f.log.earliestCauseOf(f.now) == lastSign);
}

Test(StandstillLog, lateTimers_areNoStandstill)
{
    StandstillFixture f;
    f.run(Seconds(1));
    f.standStill(Milliseconds(300));
    cr_expect_not(f.log.onRunning(f.now).has_value());
    cr_expect(f.log.earliestCauseOf(f.now) == f.now);
}
