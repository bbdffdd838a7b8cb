#pragma once

#include <string>

namespace guavaspan::bench {

struct DecisionsOptions {
    std::uint64_t seed = 1;
    double seconds = 120;
    std::string csvPath;
    std::string only;
};

/// Measures every policy under every load in virtual time and prints tables.
int runDecisions(const DecisionsOptions&);

}
