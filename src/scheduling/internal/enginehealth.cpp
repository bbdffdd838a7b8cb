#include "scheduling/enginehealth.h"

#include <algorithm>

namespace guavaspan {

namespace {

    constexpr std::size_t failuresToEject = 3;
    constexpr auto failureWindow = Seconds(10);
    constexpr double slowStepFactor = 4;
    constexpr int slowReportsToEject = 5;
    constexpr auto firstEjectionDuration = Seconds(2);
    constexpr auto maxEjectionDuration = Seconds(60);
    constexpr auto probeTimeout = Seconds(30);

}

void EngineHealth::eject(TimePoint now)
{
    m_ejectionDuration = m_ejectionDuration.count() == 0 ? Clock::duration(firstEjectionDuration) : std::min<Clock::duration>(m_ejectionDuration * 2, maxEjectionDuration);
    m_ejected = true;
    m_probeRunning = false;
    m_probeAllowedAt = now + m_ejectionDuration;
    m_failures.clear();
    m_slowReports = 0;
}

void EngineHealth::onFailure(TimePoint now)
{
    if (m_ejected) {
        // A failed probe; failures of older work while ejected add nothing.
        if (m_probeRunning)
            eject(now);
        return;
    }
    m_failures.push_back(now);
    while (m_failures.front() + failureWindow < now)
        m_failures.pop_front();
    if (m_failures.size() >= failuresToEject)
        eject(now);
}

void EngineHealth::onSuccess(TimePoint)
{
    m_failures.clear();
    if (!m_ejected || !m_probeRunning)
        return;
    m_ejected = false;
    m_probeRunning = false;
    m_ejectionDuration = {};
}

void EngineHealth::onStepTime(double seconds, double poolMedianSeconds, TimePoint now)
{
    if (m_ejected)
        return;
    if (poolMedianSeconds <= 0 || seconds < slowStepFactor * poolMedianSeconds) {
        m_slowReports = 0;
        return;
    }
    if (++m_slowReports >= slowReportsToEject)
        eject(now);
}

void EngineHealth::onProbeStarted(TimePoint now)
{
    m_probeRunning = true;
    m_probeAllowedAt = now + probeTimeout;
}

EngineCondition EngineHealth::condition(TimePoint now) const
{
    if (!m_ejected)
        return EngineCondition::Healthy;
    return now >= m_probeAllowedAt ? EngineCondition::Probing : EngineCondition::Ejected;
}

}
