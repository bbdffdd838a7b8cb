#include "targets/requestbucket.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Requests that an instance may send at once after it was idle.
    constexpr double maxTokens = 1;

}

void RequestBucket::refill(TimePoint now)
{
    tokens = std::min(maxTokens, tokens + share * secondsBetween(refilledAt, now));
    refilledAt = now;
}

std::optional<Clock::duration> RequestBucket::waitTime() const
{
    if (tokens >= 1)
        return Clock::duration::zero();
    if (share <= 0)
        return std::nullopt;
    return fromSeconds((1 - tokens) / share);
}

}
