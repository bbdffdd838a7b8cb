#include "relay/stopschedule.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

constexpr BootTime signalledAt { Seconds(100) };

/// A stop that the host ends after 8 s.
struct StopFixture {
    StopSchedule schedule { { .signalledAt = signalledAt, .stopLimit = Seconds(8), .balancerDetectionTime = Milliseconds(3200) } };

    bool admits(RequestDuration duration, Clock::duration sinceSignal) const { return schedule.mayAdmit(duration, signalledAt + sinceSignal); }
};

}

/// Guards against LOST: a plain request taken shortly before the host killed the process was cut.
Test(StopSchedule, requestThatMayOutlastTheLimit_isRefusedLateInTheStop)
{
    StopFixture f;
    RequestDuration lookup { .expected = Milliseconds(100), .longest = Seconds(1) };
    cr_expect(f.admits(lookup, Milliseconds(0)));
    cr_expect(f.admits(lookup, Seconds(6)));
    cr_expect_not(f.admits(lookup, Seconds(7)));
    cr_expect_not(f.admits(lookup, Milliseconds(7980)));
}

/// Guards against LOST: a request was taken late in a stop by its estimate, although its bound exceeded the limit.
Test(StopSchedule, requestWhoseBoundExceedsTheLimit_isAdmittedByEstimateOnlyWhileTheBalancerSends)
{
    StopFixture f;
    RequestDuration request { .expected = Seconds(2), .longest = Seconds(6) };
    cr_expect(f.admits(request, Seconds(1)));
    cr_expect(f.admits(request, Seconds(3)));
    cr_expect_not(f.admits(request, Seconds(4)));
    cr_expect_not(f.admits({ .expected = Seconds(9), .longest = Seconds(30) }, Seconds(0)));
}

/// Guards against LOST: a stream that its caller sent after the balancer's time was admitted by an estimate, since the signal arrived late.
Test(StopSchedule, signalArrivesLate_estimatesCountOnlyWhileTheBalancerCertainlySends)
{
    constexpr auto signalDelay = Milliseconds(350);
    StopSchedule schedule({ .signalledAt = signalledAt, .stopLimit = Seconds(8), .balancerDetectionTime = Milliseconds(3200), .maxSignalDelay = signalDelay });
    RequestDuration stream { .expected = Seconds(2), .longest = Seconds(39) };
    cr_expect(schedule.mayAdmit(stream, signalledAt + Milliseconds(2849)));
    cr_expect_not(schedule.mayAdmit(stream, signalledAt + Milliseconds(2850)));
    cr_expect(schedule.mayAdmit({ .expected = Seconds(2), .longest = Seconds(4) }, signalledAt + Milliseconds(2850)));
}

Test(StopSchedule, anyLimit_stepsFollowEachOtherBeforeTheHostsKill)
{
    for (auto limit : { Milliseconds(0), Milliseconds(200), Milliseconds(1000), Milliseconds(8000), Milliseconds(60000) }) {
        StopSchedule schedule({ .signalledAt = signalledAt, .stopLimit = limit, .balancerDetectionTime = Milliseconds(3200) });
        cr_expect(signalledAt <= schedule.balancerStopsAt());
        cr_expect(schedule.balancerStopsAt() <= schedule.requestsEndAt());
        cr_expect(schedule.requestsEndAt() <= schedule.processEndsAt());
        cr_expect(schedule.processEndsAt() <= signalledAt + limit);
    }
}

/// Guards against LOST: settings read again during the stop moved its end beyond the host's kill.
Test(StopSchedule, limitChangedDuringTheStop_endsItSoonerButNeverLater)
{
    StopFixture f;
    cr_expect(f.schedule.withLimit(Seconds(20)) == f.schedule);
    cr_expect(f.schedule.withLimit(Seconds(4)).processEndsAt() < f.schedule.processEndsAt());
}

/// Guards against LOST: a signal that was sent while the process stood still was planned as if it had been sent at its end.
Test(StopSchedule, signalMayBeOld_admitsOnlyWhatEndsBeforeTheEarliestKill)
{
    StopSchedule schedule({ .signalledAt = signalledAt, .maxSignalAge = Seconds(4), .stopLimit = Seconds(8), .balancerDetectionTime = Milliseconds(3200) });
    cr_expect(schedule.admittedRequestsEndAt() == signalledAt + Milliseconds(3300));
    cr_expect_not(schedule.mayAdmit({ .expected = Seconds(2), .longest = Seconds(4) }, signalledAt), "the estimate counts although the balancer may have stopped");
    cr_expect(schedule.mayAdmit({ .expected = Seconds(2), .longest = Seconds(3) }, signalledAt));
    cr_expect_not(schedule.mayAdmit({ .expected = Seconds(2), .longest = Seconds(3) }, signalledAt + Seconds(1)));
}

/// Guards against LOST: requests that run already would be cut early if the signal came at the end of the standstill.
Test(StopSchedule, signalMayBeOld_runningRequestsEndBeforeTheLatestKill)
{
    StopSchedule schedule({ .signalledAt = signalledAt, .maxSignalAge = Seconds(4), .stopLimit = Seconds(8), .balancerDetectionTime = Milliseconds(3200) });
    cr_expect(schedule.requestsEndAt() == signalledAt + Milliseconds(7300));
    cr_expect(schedule.processEndsAt() > schedule.requestsEndAt() && schedule.processEndsAt() <= signalledAt + Seconds(8));
}

/// The process was not killed yet, so the signal is not as old as the standstill, but the kill may come at any time.
Test(StopSchedule, standstillLongerThanTheLimit_nothingIsAdmitted)
{
    StopSchedule schedule({ .signalledAt = signalledAt, .maxSignalAge = Seconds(10), .stopLimit = Seconds(8), .balancerDetectionTime = Milliseconds(3200) });
    cr_expect_not(schedule.mayAdmit({ .expected = Milliseconds(1), .longest = Milliseconds(1) }, signalledAt));
    cr_expect(schedule.balancerStopsAt() <= schedule.requestsEndAt());
}
