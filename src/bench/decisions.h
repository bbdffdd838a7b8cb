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

/// Measures every policy under every load in virtual time and prints tables.
int runDecisions(const DecisionsOptions&);

}
