#pragma once

#include "net/endpoint.h"
#include "net/httpexchange.h"
#include "usage/usagecustodian.h"

#include <vector>

namespace guavaspan {

/// Path at which an instance takes usage records of its peers.
inline constexpr const char* usageHandoverPath = "/fleet/usage";

/// Gives the records to the first two of the peers that take them. Returns how many took them.
Awaitable<int> handOverUsage(std::vector<UsageRecord>, std::vector<Endpoint> peers);

/// Takes the records that a peer hands over.
Awaitable<> receiveUsage(HttpExchange&, UsageCustodian&);

}
