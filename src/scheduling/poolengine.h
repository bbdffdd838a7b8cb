#pragma once

#include "scheduling/enginehealth.h"
#include "scheduling/memoryprofile.h"
#include "scheduling/prefixindex.h"
#include "scheduling/schedulingtypes.h"
#include "scheduling/sharedprefixes.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace guavaspan {

/// A granted generation with its last reported and estimated progress.
struct GrantedGeneration {
    PermitRequest request;
    int producedTokens = 0;
    double estimatedTokens = 0;
    TimePoint grantedAt;
    TimePoint reportedAt;
    /// When the permit holder last reported this generation.
    TimePoint renewedAt;
    /// The grant that was sent; it is sent again if the permit holder repeats its request.
    Grant grant;
    int expectedCachedTokens = 0;
    int preemptions = 0;
};

/// What a pool's scheduler knows of one engine and of the generations that it granted there.
struct PoolEngine {
    EngineInfo info;
    MemoryProfile profile;
    EngineHealth health;
    PrefixIndex prefixIndex;
    SharedPrefixes sharedPrefixes;
    std::optional<LoadReport> report;
    std::map<PermitId, GrantedGeneration> running;
    std::deque<std::pair<TimePoint, double>> occupancyHistory;
    /// Reported memory use that the generations granted by this owner do not account for.
    double unexplainedTokens = 0;
    bool saturated = false;
    /// Preempted generations that have not resumed yet.
    std::set<PermitId> preemptedIds;
    /// The generation that an overflow would preempt.
    std::optional<PermitId> preemptionCandidate;
    bool inPool = true;

    double capacityTokens() const;
    double stepSeconds() const;
    void recordOccupancy(TimePoint now);
    void onLoadReport(const LoadReport&);

    /// True if the engine may receive the request, apart from its memory.
    bool canAccept(const PermitRequest&, std::size_t maxRunning, TimePoint now) const;

    /// Estimated cost in seconds of placing the request here.
    double placementCost(const PermitRequest&, int cachedTokens) const;

    /// The generation that an overflow should preempt; null if there is none or an overflow is unlikely.
    const GrantedGeneration* findPreemptionCandidate() const;
};

}
