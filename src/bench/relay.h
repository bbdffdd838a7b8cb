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

/// Compares streams read directly from the engines with streams relayed by one instance.
int runRelay(const RelayOptions&);

}
