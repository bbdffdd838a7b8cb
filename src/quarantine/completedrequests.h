#pragma once

#include "quarantine/quarantine.h"

#include <unordered_set>

namespace guavaspan {

/// Requests that were answered completely in the last minutes. Bounded: if there are many, the oldest are forgotten.
class CompletedRequests {
public:
    void add(Fingerprint, TimePoint now);
    bool contains(Fingerprint fingerprint) const { return m_recent.contains(fingerprint) || m_earlier.contains(fingerprint); }

private:
    static constexpr std::size_t maxGenerationSize = 4096;
    static constexpr auto generationLifetime = std::chrono::minutes(5);

    std::unordered_set<Fingerprint> m_recent;
    std::unordered_set<Fingerprint> m_earlier;
    TimePoint m_recentSince;
};

}
