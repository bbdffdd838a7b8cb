#pragma once

#include "net/endpoint.h"
#include "net/httpexchange.h"
#include "usage/usagecustodian.h"

#include <vector>

namespace guavaspan {

/// Path at which an instance takes usage records of its peers.
inline constexpr const char* usageHandoverPath = "/fleet/usage";

/// Usage that a stopping instance hands to its peers.
struct UsageHandover {
    /// Two peers take it, so that one of them may end.
    UsageRecord own;
    /// One peer takes the place of this custodian.
    std::vector<HandedUsage> held;
};

/// Asks the peers in turn, and returns how many took the instance's own record.
Awaitable<int> handOverUsage(UsageHandover, std::vector<Endpoint> peers);

/// Takes the records that a peer hands over.
Awaitable<> receiveUsage(HttpExchange&, UsageCustodian&);

}
