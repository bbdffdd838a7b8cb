#pragma once

#include "common/time.h"
#include "dispatch/dispatchtypes.h"

#include <deque>
#include <map>
#include <string>

namespace guavaspan {

/// What ordinary generations must leave free at each engine of a service.
struct ReserveInputs {
    std::size_t usableEngines = 0;
    int memoryTokens = 0;
    /// Memory of generations that still have to move from draining engines.
    double movingTokens = 0;
};

/// Keeps memory free for urgent short requests, if there was recent demand for it, and for moves while engines drain.
class MemoryReserve {
public:
    /// A short or most urgent request asked for a target, whether it got one or not.
    void onUrgentRequest(const std::string& service, const WorkEstimate&, TimePoint now);

    /// Tokens to leave free at each engine of a service.
    double tokensPerEngine(const std::string& service, const ReserveInputs&, TimePoint now);

    /// A destination refused a generation of this size although the load known here left room for it.
    void onDestinationFull(const std::string& target, int tokensHeld, double roomTokens, TimePoint now);

    /// Tokens that a target lacks of the room that its known load leaves, as recent refusals showed.
    double missingTokens(const std::string& target, TimePoint now) const;

    /// Forgets refusals that are too old to matter.
    void onTick(TimePoint now);

private:
    struct Demand {
        TimePoint at;
        int tokens = 0;
    };
    struct Refusal {
        TimePoint at;
        double missingTokens = 0;
    };

    void evictOldDemand(std::deque<Demand>&, TimePoint now);

    std::map<std::string, std::deque<Demand>> m_demandByService;
    std::map<std::string, Refusal> m_refusalByTarget;
};

}
