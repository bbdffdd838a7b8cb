#pragma once

#include "common/time.h"

#include <map>
#include <string>

namespace guavaspan {

/// Since when the engines of each service have had no room for what waits.
class SaturationTracker {
public:
    /// A request found no room.
    void onSaturated(const std::string& service, TimePoint now) { m_saturatedSince.emplace(service, now); }

    /// There is room again, also for requests that come back.
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
