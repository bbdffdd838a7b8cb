#pragma once

#include "quarantine/quarantine.h"

#include <optional>
#include <unordered_map>

namespace guavaspan {

/// Requests that were answered completely in the last minutes. Bounded: if there are many, the oldest are forgotten.
class CompletedRequests {
public:
    void add(Fingerprint, TimePoint sentAt, TimePoint now);
    bool contains(Fingerprint fingerprint) const { return m_recent.contains(fingerprint) || m_earlier.contains(fingerprint); }

    /// When the last of them with this fingerprint was sent.
    std::optional<TimePoint> lastSentAt(Fingerprint) const;

private:
    static constexpr std::size_t maxGenerationSize = 4096;
    static constexpr auto generationLifetime = std::chrono::minutes(5);

    std::unordered_map<Fingerprint, TimePoint> m_recent;
    std::unordered_map<Fingerprint, TimePoint> m_earlier;
    TimePoint m_recentSince;
};

}
