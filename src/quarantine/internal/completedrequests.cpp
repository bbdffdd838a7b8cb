#include "quarantine/completedrequests.h"

#include <algorithm>
#include <utility>

namespace guavaspan {

void CompletedRequests::add(Fingerprint fingerprint, TimePoint sentAt, TimePoint now)
{
    if (m_recent.size() >= maxGenerationSize || m_recentSince + generationLifetime < now) {
        m_earlier = std::exchange(m_recent, {});
        m_recentSince = now;
    }
    auto& lastSentAt = m_recent.try_emplace(fingerprint, sentAt).first->second;
    lastSentAt = std::max(lastSentAt, sentAt);
}

std::optional<TimePoint> CompletedRequests::lastSentAt(Fingerprint fingerprint) const
{
    for (const auto* generation : { &m_recent, &m_earlier }) {
        auto found = generation->find(fingerprint);
        if (found != generation->end())
            return found->second;
    }
    return std::nullopt;
}

}
