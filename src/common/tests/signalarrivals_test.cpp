#include "common/signalarrivals.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace guavaspan;

namespace {

volatile std::sig_atomic_t handledSignal = 0;

void handleSignal(int signal)
{
    handledSignal = signal;
}

}

/// Guards against LOST: requests were admitted between the arrival of a stop signal and its handling by the event loop.
Test(SignalArrivals, watchedSignal_isNotedAtOnceAndReachesItsHandler)
{
    std::signal(SIGUSR1, handleSignal);
    SignalArrivals::watch(SIGUSR1);
    SignalArrivals::watch(SIGUSR1);
    cr_assert_not(SignalArrivals::first().has_value());
    auto before = BootClock::now();
    std::raise(SIGUSR1);
    auto first = SignalArrivals::first();
    cr_assert(first.has_value());
    cr_expect(first->signal == SIGUSR1 && first->at >= before && first->at <= BootClock::now());
    cr_expect(handledSignal == SIGUSR1);
    std::raise(SIGUSR1);
    cr_expect(SignalArrivals::first() == first, "a repeated signal is taken for the first one");
}
