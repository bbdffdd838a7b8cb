#pragma once

#include "common/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace guavaspan {

/// How far this instance can rely on its copy of the shared store.
struct StoreView {
    bool reachable = true;
    /// Time since the copy was surely current.
    Clock::duration age {};

    friend bool operator==(const StoreView&, const StoreView&) = default;
};

/// Decides which engines to ask whether they leave: those that run generations of this
/// instance, and only while the shared store cannot tell.
class ShutdownPollSchedule {
public:
    /// Engines to ask now, out of those that run something.
    std::vector<std::string> due(const std::set<std::string>& busyEngines, const StoreView&, TimePoint now);

private:
    std::map<std::string, TimePoint> m_polledAt;
};

}
