#pragma once

#include "net/nettypes.h"
#include "relay/stopschedule.h"

#include <functional>

namespace guavaspan {

/// What drain() needs to know and do.
struct DrainOptions {
    /// Number of connections with a request that is being read, handled or answered.
    std::function<std::size_t()> busyConnections;
    /// Number of requests that have ended since the process started.
    std::function<std::uint64_t()> endedRequests;
    std::function<void()> closeIdleConnections;
    std::function<void()> closeListener;
    /// Ends the requests that still run with an answer, or cuts their streams.
    std::function<void()> cutRequests;
    /// Adds the use so far of the requests that still run to what is written.
    std::function<void()> chargeRunningRequests;
    /// Writes use that is not on record; false if that failed.
    std::function<Awaitable<bool>()> writeUsage;
    /// Hands use to peers, which write it if the store lacks it; false if none took it.
    std::function<Awaitable<bool>()> handOverUsage;
    /// Asked before each step, since settings that are read again may change it.
    std::function<StopSchedule()> schedule;
};

/// Waits until a stopping instance may end its process: the load balancer has stopped sending requests, answers have
/// been sent and read, and use is on record or cannot be written in time. Ends before the host kills the process.
/// False if use is neither on record nor with a peer.
Awaitable<bool> drain(DrainOptions);

}
