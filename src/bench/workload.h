#pragma once

#include "common/random.h"
#include "common/time.h"
#include "scheduling/schedulingtypes.h"

#include <string>
#include <vector>

namespace guavaspan::bench {

/// The request rate and request mix of one organisation.
struct OrganisationLoad {
    std::string name;
    double weight = 1;
    double requestsPerSecond = 1;
    /// Fraction of the requests that are short look-ups; the others are drafts.
    double lookupShare = 0.2;
    double draftMedianTokens = 400;
    double draftLogDeviation = 1.2;
};

/// A time window in which the arrival rate is multiplied by a factor.
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

/// One request with its output length, which the scheduler cannot see in advance.
struct Arrival {
    TimePoint at;
    PermitRequest request;
    int outputTokens = 1;
};

/// Draws the arrivals; equal options give equal arrivals, so that policies can be compared.
std::vector<Arrival> makeArrivals(const WorkloadOptions&);

/// Ten organisations that share the request rate by weight; three of them have triple weight.
std::vector<OrganisationLoad> tenOrganisations(double totalRequestsPerSecond);

}
