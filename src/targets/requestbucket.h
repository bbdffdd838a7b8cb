#pragma once

#include "common/time.h"

#include <optional>

namespace guavaspan {

/// Token bucket for the requests that one instance sends to a target.
struct RequestBucket {
    /// Requests per second; zero if other instances have the whole limit.
    double share = 0;
    /// Requests that may be sent now; negative if more were sent.
    double tokens = 0;
    /// Requests that may be sent at once after a pause.
    double capacity = 1;
    TimePoint refilledAt;

    void refill(TimePoint now);

    /// Time until a request may be sent; empty if the share is zero and no request is left.
    std::optional<Clock::duration> waitTime() const;
};

}
