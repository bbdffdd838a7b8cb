#pragma once

#include <string>
#include <vector>

namespace guavaspan::bench {

struct RelayOptions {
    std::vector<std::string> engines;
    std::string instance;
    std::string instancePidFile;
    std::string callerKey;
    int streams = 300;
    int tokensPerStream = 400;
};

/// Compares streams straight from the engines with streams through one instance.
int runRelay(const RelayOptions&);

}
