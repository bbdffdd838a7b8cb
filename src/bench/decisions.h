#pragma once

#include <string>

namespace guavaspan::bench {

struct DecisionsOptions {
    std::uint64_t seed = 1;
    double seconds = 180;
    std::string csvPath;
    std::string scenarioFilter;
    bool riskSweep = false;
};

/// Simulates every scheduling policy under every workload in virtual time and prints a table for each workload.
int runDecisions(const DecisionsOptions&);

}
