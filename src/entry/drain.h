#pragma once

#include "net/nettypes.h"

#include <functional>

namespace guavaspan {

/// What drain() needs to know and do.
struct DrainOptions {
    std::function<std::size_t()> inFlightRequests;
    /// Number of requests that have ended since the process started.
    std::function<std::uint64_t()> endedRequests;
    std::function<void()> closeListener;
    /// Writes use that is not on record; false if that failed.
    std::function<Awaitable<bool>()> writeUsage;
    /// Time until the load balancer stops sending requests.
    Clock::duration balancerDetectionTime {};
};

/// Waits until a stopping instance may end its process: the load balancer has stopped sending requests, requests in
/// flight have ended, and use is on record or cannot be written in time. False if use is not on record.
Awaitable<bool> drain(DrainOptions);

}
