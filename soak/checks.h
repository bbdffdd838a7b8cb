#pragma once

#include "soak/record.h"

namespace guavaspan::soak {

/// A promise that did not hold, with what shows it.
struct Violation {
    std::string promise;
    std::string evidence;

    friend bool operator==(const Violation&, const Violation&) = default;
};

/// Holds what callers and engines saw against the promises.
std::vector<Violation> findViolations(const SoakRecord&);

/// Share of attempts after the last fault that were served.
double servedShareAfterFaults(const SoakRecord&);

}
