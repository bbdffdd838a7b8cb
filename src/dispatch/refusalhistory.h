#pragma once

#include "common/time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace guavaspan {

/// Hash of a request's content, equal for all attempts at the same request.
using ContentHash = std::uint64_t;

/// Records refused requests, so that the time since a caller's first attempt is known when it retries.
class RefusalHistory {
public:
    void onRefused(ContentHash, TimePoint firstAttemptAt, TimePoint now);

    /// Time of the first attempt of a refused request; empty if no refusal is recorded.
    std::optional<TimePoint> firstAttempt(ContentHash, TimePoint now);

private:
    struct Refusal {
        TimePoint firstAttemptAt;
        TimePoint refusedAt;
    };

    void evictOld(TimePoint now);

    std::unordered_map<ContentHash, Refusal> m_refusals;
    std::deque<std::pair<TimePoint, ContentHash>> m_evictionQueue;
};

}
