#include "common/standstilllog.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Older ones lie too far back to have held up an event that arrives now.
    constexpr std::size_t maxStandstills = 16;

}

StandstillLog::StandstillLog(BootClock::duration minLength, BootTime now)
    : m_minLength(minLength)
    , m_lastRunning(now)
{
}

std::optional<Standstill> StandstillLog::onRunning(BootTime now)
{
    Standstill pause { .beganAt = m_lastRunning, .endedAt = now };
    m_lastRunning = now;
    if (pause.length() < m_minLength)
        return std::nullopt;
    m_standstills.push_front(pause);
    if (m_standstills.size() > maxStandstills)
        m_standstills.pop_back();
    return pause;
}

/// What waited arrives before the process gives its next sign of life, so that a later event has not waited.
BootTime StandstillLog::earliestCauseOf(BootTime arrivedAt) const
{
    auto heldUp = std::find_if(m_standstills.begin(), m_standstills.end(), [&](const Standstill& standstill) { return standstill.beganAt <= arrivedAt && arrivedAt <= standstill.endedAt; });
    return heldUp == m_standstills.end() ? arrivedAt : heldUp->beganAt;
}

}
