#include "common/standstilllog.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Older ones lie too far back to have held up an event that arrives now.
    constexpr std::size_t maxStandstills = 16;

}

StandstillLog::StandstillLog(StandstillOptions options, BootTime now)
    : m_options(options)
    , m_lastRunning(now)
{
}

std::optional<Standstill> StandstillLog::onRunning(BootTime now)
{
    Standstill pause { .beganAt = m_lastRunning, .endedAt = now };
    m_lastRunning = now;
    if (pause.length() < m_options.minLength)
        return std::nullopt;
    m_standstills.push_front(pause);
    if (m_standstills.size() > maxStandstills)
        m_standstills.pop_back();
    return pause;
}

/// A process may run for a moment between two standstills without handling all that waited.
BootTime StandstillLog::earliestCauseOf(BootTime arrivedAt) const
{
    auto earliest = arrivedAt;
    for (const auto& standstill : m_standstills) {
        if (standstill.endedAt + m_options.settlingTime < earliest)
            break;
        earliest = std::min(earliest, standstill.beganAt);
    }
    return earliest;
}

}
