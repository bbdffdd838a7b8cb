#pragma once

#include "common/time.h"

namespace guavaspan {

/// How long, and how often, instances ask the owner of a service for a decision before they ask the next one, or decide by themselves.
struct OwnerQueryLimits {
    /// An owner responds within a round trip of a few milliseconds, so by then a datagram was lost.
    static constexpr auto responseTimeout = Milliseconds(35);
    /// Consecutive queries without a response after which an owner counts as unreachable.
    static constexpr int maxUnansweredQueries = 3;
    static constexpr int maxOwnersTried = 2;
};

}
