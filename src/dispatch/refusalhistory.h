#pragma once

#include "common/time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace guavaspan {

/// Identity of what a caller wants, the same for each of its attempts.
using ContentHash = std::uint64_t;

/// Remembers refused requests, so that a caller who comes back is known to have waited.
class RefusalHistory {
public:
    void onRefused(ContentHash, TimePoint firstAttemptAt, TimePoint now);

    /// When a refused request was first asked for; nothing if it is new.
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
