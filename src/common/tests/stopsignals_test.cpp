#include "common/stopsignals.h"

#include <criterion/criterion.h>

using namespace guavaspan;

/// Guards against LOST: a repeated SIGTERM ended the process at once and cut every request.
Test(StopSignals, terminationRepeated_neverEndsTheProcessAtOnce)
{
    StopSignals signals;
    for (auto signal : { SIGTERM, SIGTERM, SIGINT, SIGTERM })
        cr_expect_not(signals.endsAtOnce(signal));
}

Test(StopSignals, secondInterrupt_endsTheProcessAtOnce)
{
    StopSignals signals;
    cr_expect_not(signals.endsAtOnce(SIGINT));
    cr_expect(signals.endsAtOnce(SIGINT));
}
