#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace guavaspan::bench {

/// Addresses and process id files of the processes under test, and the load to apply.
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

/// Checks what the service guarantees to callers and operators, on real processes with
/// injected faults; returns the number of violations.
int runPromises(const PromisesOptions&);

}
