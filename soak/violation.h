#pragma once

#include "soak/record.h"

namespace guavaspan::soak {

/// A violated guarantee of the entry service and the evidence for it.
struct Violation {
    std::string guarantee;
    std::string evidence;

    friend bool operator==(const Violation&, const Violation&) = default;
};

Violation makeViolation(const char* guarantee, const Attempt&, const std::string& detail);

}
