#pragma once

#include "common/time.h"

#include <map>
#include <string>

namespace guavaspan {

/// Since when the engines of each service have had no room for what waits.
class RoomHistory {
public:
    /// A request found no room.
    void onFull(const std::string& service, TimePoint now) { m_fullSince.emplace(service, now); }

    /// There is room again, also for requests that come back.
    void onRoom(const std::string& service) { m_fullSince.erase(service); }

    Clock::duration fullFor(const std::string& service, TimePoint now) const
    {
        auto found = m_fullSince.find(service);
        return found == m_fullSince.end() ? Clock::duration {} : now - found->second;
    }

private:
    std::map<std::string, TimePoint> m_fullSince;
};

}
