#pragma once

#include "common/time.h"

#include <deque>
#include <optional>

namespace guavaspan {

/// A time during which a process ran no code.
struct Standstill {
    /// The process was last known to run then.
    BootTime beganAt;
    BootTime endedAt;

    BootClock::duration length() const { return endedAt - beganAt; }

    friend bool operator==(const Standstill&, const Standstill&) = default;
};

/// Remembers when the process stood still, and for how long an event may have waited that arrived at the end of it.
class StandstillLog {
public:
    /// A time without a sign of life that is shorter than the minimum is a late timer.
    StandstillLog(BootClock::duration minLength, BootTime now);

    /// Takes note that the process runs; returns the standstill that this ends.
    std::optional<Standstill> onRunning(BootTime now);

    /// The earliest time at which an event may have been caused that arrived at this time.
    BootTime earliestCauseOf(BootTime arrivedAt) const;

private:
    BootClock::duration m_minLength;
    BootTime m_lastRunning;
    /// The latest first.
    std::deque<Standstill> m_standstills;
};

}
