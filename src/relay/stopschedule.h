#pragma once

#include "common/time.h"

namespace guavaspan {

/// When the stop was signalled and what limits it.
struct StopOptions {
    /// When the signal arrived.
    BootTime signalledAt;
    /// The host may have sent the signal up to this much earlier, while this process stood still.
    Clock::duration maxSignalAge {};
    /// Time from the signal until the host kills the process.
    Clock::duration stopLimit {};
    /// Time from the signal until the load balancer stops sending requests.
    Clock::duration balancerDetectionTime {};
    /// Longest time between the host's signal and its arrival in this process.
    Clock::duration maxSignalDelay {};

    friend bool operator==(const StopOptions&, const StopOptions&) = default;
};

/// How long a request may take.
struct RequestDuration {
    /// An estimate, which a slow or crowded target exceeds.
    Clock::duration expected {};
    /// The time after which the request is ended, whatever its target does.
    Clock::duration longest {};

    friend bool operator==(const RequestDuration&, const RequestDuration&) = default;
};

/// The steps of an instance's stop, from the signal to the end of its process.
class StopSchedule {
public:
    explicit StopSchedule(StopOptions options)
        : m_options(options)
    {
    }

    BootTime signalledAt() const { return m_options.signalledAt; }
    Clock::duration maxSignalAge() const { return m_options.maxSignalAge; }

    /// From here on idle connections are closed.
    BootTime balancerStopsAt() const;

    /// From here on only requests are admitted that are certain to end in time.
    BootTime admitsByEstimateUntil() const;

    /// The latest end of a request that is admitted during the stop. The host may kill the process soon after it.
    BootTime admittedRequestsEndAt() const;

    /// The latest end of any request. Requests that still run are answered with an error or cut.
    BootTime requestsEndAt() const;

    /// The process ends by itself before the latest time at which the host kills it.
    BootTime processEndsAt() const;

    bool mayAdmit(const RequestDuration&, BootTime now) const;

    /// A limit that changes during the stop can only end it sooner: the host may keep to the limit at the signal.
    StopSchedule withLimit(Clock::duration stopLimit) const;

    friend bool operator==(const StopSchedule&, const StopSchedule&) = default;

private:
    BootTime requestsEndAfterSignalAt(BootTime) const;

    StopOptions m_options;
};

}
