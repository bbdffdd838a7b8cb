#include "targets/requestbucket.h"

#include <algorithm>

namespace guavaspan {

void RequestBucket::refill(TimePoint now)
{
    tokens = std::min(capacity, tokens + share * secondsBetween(refilledAt, now));
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
