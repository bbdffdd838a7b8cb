#pragma once

#include "soak/violation.h"

namespace guavaspan::soak {

/// Checks the guarantees of the entry service against the records of callers and engines.
std::vector<Violation> findViolations(const SoakRecord&);

/// Share of valid requests that were served once the system had time to recover from the last fault.
double servedShareAfterFaults(const SoakRecord&);

}
