#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace guavaspan::bench {

/// Where the processes under test are; written by the script that started them.
struct PromisesOptions {
    std::vector<std::string> instances;
    std::vector<std::string> instancePidFiles;
    std::vector<std::string> engines;
    std::vector<std::string> enginePidFiles;
    std::string platformAddress;
    std::string plainServiceAddress;
    std::string callerKey;
    std::string operatorKey;
    std::uint64_t seed = 1;
    double seconds = 60;
    int completionWorkers = 40;
    int orderWorkers = 10;
    std::string faultFilter = "all";
};

/// Checks every promise against real processes while faults strike; gives the
/// number of violations.
int runPromises(const PromisesOptions&);

}
