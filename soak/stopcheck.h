#pragma once

#include "soak/violation.h"

namespace guavaspan::soak {

/// Reason why a response that was incomplete around a planned stop is no violation.
enum class CutReason {
    /// No reason; the request was lost.
    Lost,
    /// No engine received the request, and the connection ended within closeAllowance.
    CloseRace,
    EngineBrokeOff,
    DeadlineReached,
    EngineBusyUntilStopLimit,
    UnplannedDisturbance,
};

const char* toString(CutReason);

/// An incomplete response and the stop of the process that took its request.
struct CutResponse {
    const Attempt& attempt;
    const PlannedStop& stop;
    CutReason reason;
};

/// Incomplete responses that ended after the stop of their process had begun.
std::vector<CutResponse> findCutResponses(const SoakRecord&);

/// Describes a cut response in one line.
std::string describe(const CutResponse&);

/// Reports requests that a planned stop of their instance left without a complete response.
std::vector<Violation> findStopViolations(const SoakRecord&);

}
