#pragma once

#include <chrono>
#include <cstdint>

namespace guavaspan {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

/// Fractional number of seconds between two time points.
inline double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

/// Converts a fractional number of seconds to the clock's duration type.
inline Clock::duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
}

/// Clock that counts from boot and includes time during which the machine is suspended.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    // NOLINTNEXTLINE(readability-identifier-naming): the standard names this member of a clock.
    static constexpr bool is_steady = true;

    static time_point now();
};

using BootTime = BootClock::time_point;

/// The time on the steady clock at which the boot clock shows this time, unless the machine is suspended until then.
inline TimePoint toSteadyTime(BootTime time)
{
    return Clock::now() + (time - BootClock::now());
}

/// Unix time in milliseconds, for timestamps that instances exchange.
inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}
