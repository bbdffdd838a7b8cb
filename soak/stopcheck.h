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

/// Number of incomplete responses around planned stops, by reason.
std::map<CutReason, int> countCutResponses(const SoakRecord&);

/// Reports requests that a planned stop of their instance left without a complete response.
std::vector<Violation> findStopViolations(const SoakRecord&);

}
