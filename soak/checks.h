#pragma once

#include "soak/record.h"

namespace guavaspan::soak {

/// A broken promise of the entry service and the evidence for it.
struct Violation {
    std::string guarantee;
    std::string evidence;

    friend bool operator==(const Violation&, const Violation&) = default;
};

/// Checks the promises of the entry service against the records of callers and engines.
std::vector<Violation> findViolations(const SoakRecord&);

/// Share of valid requests that were served once the system had time to recover from the last fault.
double servedShareAfterFaults(const SoakRecord&);

}
