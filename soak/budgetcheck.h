#pragma once

#include "soak/constants.h"
#include "soak/violation.h"

namespace guavaspan::soak {

/// The retryWindow in which a service received the most repeats in relation to what was allowed.
struct RetryUse {
    SoakTime endedAt = 0;
    int repeats = 0;
    /// Repeats that continue a generation from a copy of its state.
    int resumes = 0;
    double allowed = retrySlack;

    double shareOfAllowed() const { return repeats / allowed; }
};

/// The worst window of streams or of plain requests; each are served by one service.
RetryUse worstRetryUse(const SoakRecord&, bool streams);

/// Reports repeats beyond the retry budget, executions beyond the route's attempts and deadlines that are
/// passed on with more time than is left.
std::vector<Violation> findBudgetViolations(const SoakRecord&);

}
