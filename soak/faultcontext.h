#pragma once

#include "soak/deployment.h"

#include <map>

namespace guavaspan::soak {

/// What the injectors of faults share.
struct FaultContext {
    asio::io_context& io;
    const SoakOptions& options;
    Deployment& deployment;
    Random& random;
    SoakRecord& record;
    /// Number of faults and planned operations of each kind.
    std::map<std::string, int> counts;
    /// Faults are started while this is set; those in progress still end.
    bool injecting = true;
    /// Processes that ended are replaced while this is set.
    bool restarting = true;

    Milliseconds randomDuration(int minMilliseconds, int maxMilliseconds);
    void recordDisturbance(const std::string& subject, SoakTime startedAt, SoakTime endedAt, bool planned = false);
};

}
