#pragma once

#include <string>

namespace guavaspan::bench {

/// Processor time and resident memory of a process.
struct ProcessUsage {
    double processorSeconds = 0;
    double residentKib = 0;
};

ProcessUsage readProcessUsage(const std::string& pidFile);

}
