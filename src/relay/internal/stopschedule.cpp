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

BootTime StopSchedule::requestsEndAfterSignalAt(BootTime signalledAt) const
{
    return signalledAt + m_options.stopLimit - std::min(requestMargin, m_options.stopLimit / maxMarginDivisor);
}

/// Readiness is false since the signal arrived.
BootTime StopSchedule::balancerStopsAt() const
{
    return std::min(m_options.signalledAt + m_options.balancerDetectionTime, admittedRequestsEndAt());
}

/// The balancer's time runs from the host's signal, which may be earlier than its arrival here.
BootTime StopSchedule::admitsByEstimateUntil() const
{
    auto sentAt = m_options.signalledAt - m_options.maxSignalAge;
    return std::min(sentAt + m_options.balancerDetectionTime, admittedRequestsEndAt()) - m_options.maxSignalDelay;
}

BootTime StopSchedule::admittedRequestsEndAt() const
{
    return requestsEndAfterSignalAt(m_options.signalledAt - m_options.maxSignalAge);
}

/// A signal that was sent late leaves the requests that run already more time than new ones can rely on.
BootTime StopSchedule::requestsEndAt() const
{
    return requestsEndAfterSignalAt(m_options.signalledAt);
}

BootTime StopSchedule::processEndsAt() const
{
    return m_options.signalledAt + m_options.stopLimit - std::min(processMargin, m_options.stopLimit / (2 * maxMarginDivisor));
}

/// While the load balancer still sends requests, refusing all that are only likely to end in time would refuse too many.
bool StopSchedule::mayAdmit(const RequestDuration& duration, BootTime now) const
{
    auto latest = now < admitsByEstimateUntil() ? duration.expected : duration.longest;
    return now + std::min(latest, duration.longest) <= admittedRequestsEndAt();
}

StopSchedule StopSchedule::withLimit(Clock::duration stopLimit) const
{
    auto options = m_options;
    options.stopLimit = std::min(options.stopLimit, stopLimit);
    return StopSchedule(options);
}

}
