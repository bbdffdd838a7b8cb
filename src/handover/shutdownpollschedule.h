#pragma once

#include "common/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace guavaspan {

/// Whether the shared store is reachable, and how old this instance's copy of it may be.
struct StoreView {
    bool reachable = true;
    /// Time since the copy was last confirmed to be current.
    Clock::duration age {};

    friend bool operator==(const StoreView&, const StoreView&) = default;
};

/// Decides which engines to poll for a shutdown notice: those that run generations of this
/// instance, while the copy of the shared store is too old to show the notice in time, or the engine's entry is missing from it.
class ShutdownPollSchedule {
public:
    /// Returns the engines in use that are to be polled now. `withoutEntry` are those whose entries are missing, although it is not known
    /// whether they are leaving.
    std::vector<std::string> due(const std::set<std::string>& enginesInUse, const std::set<std::string>& withoutEntry, const StoreView&, TimePoint now);

private:
    std::map<std::string, TimePoint> m_polledAt;
};

}
