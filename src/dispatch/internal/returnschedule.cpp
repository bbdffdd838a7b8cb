#include "dispatch/returnschedule.h"

#include <algorithm>
#include <optional>

namespace guavaspan {

namespace {

    /// A few round trips, so that callers do not retry in a tight loop.
    constexpr auto minDelay = Milliseconds(250);
    /// Callers of generations wait about 40 s in total; they come back at least three times.
    constexpr auto maxDelay = Milliseconds(12000);
    constexpr auto minInterval = Milliseconds(10);
    constexpr auto maxInterval = Milliseconds(500);
    /// Callers that are away at the same time, of one kind; beyond it their order is that of their refusals.
    constexpr std::size_t maxReturns = 2000;

}

Clock::duration ReturnSchedule::advise(const std::string& kind, const Inputs& inputs, TimePoint now)
{
    auto& returns = m_returns[kind];
    std::erase_if(returns, [&](const auto& entry) { return entry.second <= now; });
    TimePoint earliest = now + minDelay;
    TimePoint latest = now + maxDelay;
    auto interval = std::min<Clock::duration>(std::max<Clock::duration>(inputs.startInterval, minInterval), maxInterval);
    auto returnAt = std::max(earliest, now + inputs.expectedWait);
    std::optional<TimePoint> next;
    for (const auto& [firstAttemptAt, otherReturnAt] : returns) {
        if (firstAttemptAt <= inputs.firstAttemptAt) {
            returnAt = std::max(returnAt, otherReturnAt + interval);
            earliest = std::max(earliest, otherReturnAt);
        } else {
            next = std::min(next.value_or(otherReturnAt), otherReturnAt);
        }
    }
    // A caller with an earlier first attempt is let in between those that were sent away before it.
    if (next && returnAt >= *next && earliest < *next)
        returnAt = earliest + (*next - earliest) / 2;
    returnAt = std::min(returnAt, latest);
    if (returns.size() < maxReturns)
        returns.emplace(inputs.firstAttemptAt, returnAt);
    return returnAt - now;
}

}
