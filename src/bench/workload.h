#pragma once

#include "common/random.h"
#include "common/time.h"
#include "scheduling/schedulingtypes.h"

#include <string>
#include <vector>

namespace guavaspan::bench {

/// What one organisation asks for.
struct OrganisationLoad {
    std::string name;
    double weight = 1;
    double requestsPerSecond = 1;
    /// Part of the requests that are short look-ups.
    double lookupShare = 0.2;
    double draftMedianTokens = 400;
    double draftLogDeviation = 1.2;
};

/// A stretch of time during which arrivals are multiplied.
struct Burst {
    double fromSecond = 0;
    double toSecond = 0;
    double factor = 1;
    bool lookupsOnly = false;
};

struct WorkloadOptions {
    std::vector<OrganisationLoad> organisations;
    std::vector<Burst> bursts;
    double seconds = 180;
    std::uint64_t seed = 1;
};

/// One request with the length that only the engine knows.
struct Arrival {
    TimePoint at;
    PermitRequest request;
    int outputTokens = 1;
};

/// A seeded sequence of arrivals, the same for every policy.
std::vector<Arrival> makeArrivals(const WorkloadOptions&);

/// Mean tokens of memory-seconds per request, used to place a load against capacity.
std::vector<OrganisationLoad> tenOrganisations(double totalRequestsPerSecond);

}
