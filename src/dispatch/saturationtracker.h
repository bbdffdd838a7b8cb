#pragma once

#include "common/time.h"

#include <map>
#include <string>

namespace guavaspan {

/// Tracks since when the engines of each service have had no capacity for waiting requests.
class SaturationTracker {
public:
    /// No engine had capacity for a request.
    void onSaturated(const std::string& service, TimePoint now) { m_saturatedSince.emplace(service, now); }

    /// Engines have capacity again, also for callers that retry.
    void onCapacity(const std::string& service) { m_saturatedSince.erase(service); }

    Clock::duration saturatedFor(const std::string& service, TimePoint now) const
    {
        auto found = m_saturatedSince.find(service);
        return found == m_saturatedSince.end() ? Clock::duration {} : now - found->second;
    }

private:
    std::map<std::string, TimePoint> m_saturatedSince;
};

}
