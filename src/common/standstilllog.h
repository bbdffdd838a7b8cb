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

struct StandstillOptions {
    /// A shorter time without a sign of life is a late timer.
    BootClock::duration minLength {};
    /// What waited during a standstill is handled in any order within this time after it.
    BootClock::duration settlingTime {};

    friend bool operator==(const StandstillOptions&, const StandstillOptions&) = default;
};

/// Remembers when the process stood still, and until when an event may have waited that arrives afterwards.
class StandstillLog {
public:
    StandstillLog(StandstillOptions, BootTime now);

    /// Takes note that the process runs; returns the standstill that this ends.
    std::optional<Standstill> onRunning(BootTime now);

    /// The earliest time at which an event may have been caused that arrived at this time.
    BootTime earliestCauseOf(BootTime arrivedAt) const;

private:
    StandstillOptions m_options;
    BootTime m_lastRunning;
    /// The latest first.
    std::deque<Standstill> m_standstills;
};

}
