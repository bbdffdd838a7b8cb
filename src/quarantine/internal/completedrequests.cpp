#include "quarantine/completedrequests.h"

#include <utility>

namespace guavaspan {

void CompletedRequests::add(Fingerprint fingerprint, TimePoint now)
{
    if (m_recent.size() >= maxGenerationSize || m_recentSince + generationLifetime < now) {
        m_earlier = std::exchange(m_recent, {});
        m_recentSince = now;
    }
    m_recent.insert(fingerprint);
}

}
