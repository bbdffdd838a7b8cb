#include "relay/stopschedule.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Time to send the last answers and to write use.
    constexpr Clock::duration requestMargin = Milliseconds(700);
    /// Allows for a late signal or timer.
    constexpr Clock::duration processMargin = Milliseconds(150);
    /// The margins take at most this part of the limit.
    constexpr int maxMarginDivisor = 4;

}

TimePoint StopSchedule::balancerStopsAt() const
{
    return std::min(m_options.signalledAt + m_options.balancerDetectionTime, requestsEndAt());
}

/// The balancer's time runs from the host's signal, which may be earlier than its arrival here.
TimePoint StopSchedule::admitsByEstimateUntil() const
{
    return balancerStopsAt() - m_options.maxSignalDelay;
}

TimePoint StopSchedule::requestsEndAt() const
{
    return m_options.signalledAt + m_options.stopLimit - std::min(requestMargin, m_options.stopLimit / maxMarginDivisor);
}

TimePoint StopSchedule::processEndsAt() const
{
    return m_options.signalledAt + m_options.stopLimit - std::min(processMargin, m_options.stopLimit / (2 * maxMarginDivisor));
}

/// While the load balancer still sends requests, refusing all that are only likely to end in time would refuse too many.
bool StopSchedule::mayAdmit(const RequestDuration& duration, TimePoint now) const
{
    auto latest = now < admitsByEstimateUntil() ? duration.expected : duration.longest;
    return now + std::min(latest, duration.longest) <= requestsEndAt();
}

StopSchedule StopSchedule::withLimit(Clock::duration stopLimit) const
{
    auto options = m_options;
    options.stopLimit = std::min(options.stopLimit, stopLimit);
    return StopSchedule(options);
}

}
