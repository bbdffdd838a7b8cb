#pragma once

#include "common/time.h"

#include <optional>

namespace guavaspan {

struct SignalArrival {
    int signal = 0;
    BootTime at;

    friend bool operator==(const SignalArrival&, const SignalArrival&) = default;
};

/// Notes the arrival of signals in the signal handler itself, so that it is known before the event loop gets to handle them.
class SignalArrivals {
public:
    /// Notes arrivals of the signal from now on, then calls the handler that it has now.
    static void watch(int signal);

    /// The first arrival of a watched signal in this process.
    static std::optional<SignalArrival> first();
};

}
