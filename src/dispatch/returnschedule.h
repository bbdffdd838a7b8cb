#pragma once

#include "common/time.h"

#include <map>
#include <string>

namespace guavaspan {

/// Spreads the returns of refused callers, so that they come back in the order of their first attempts.
class ReturnSchedule {
public:
    /// What is known about the room that a refused caller waits for.
    struct Inputs {
        TimePoint firstAttemptAt;
        /// Time until room is expected.
        Clock::duration expectedWait {};
        /// Time between two starts of requests of this kind.
        Clock::duration startInterval {};
    };

    /// Time after which a refused caller of this kind should come back.
    Clock::duration advise(const std::string& kind, const Inputs&, TimePoint now);

private:
    using Returns = std::multimap<TimePoint, TimePoint>;

    /// By kind, the times of return of the callers that are away, by their first attempts.
    std::map<std::string, Returns> m_returns;
};

}
