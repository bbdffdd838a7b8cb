#include "scheduling/poolengine.h"

#include <algorithm>

namespace guavaspan {

namespace {

    constexpr int defaultCapacityTokens = 16000;
    constexpr double defaultStepSeconds = 0.030;
    constexpr double prefillSecondsPerToken = 0.00002;
    constexpr double otherDomainCostSeconds = 0.002;
    constexpr double fullOccupancyCostSeconds = 0.4;
    constexpr double minRiskForCandidate = 0.01;
    constexpr double sufficientCandidateTokens = 3000;
    constexpr auto occupancyHistoryDuration = Seconds(10);
    constexpr double saturatedOccupancy = 0.9;

    double sizeInTokens(const GrantedGeneration& generation)
    {
        return generation.request.promptTokens + generation.estimatedTokens;
    }

}

double PoolEngine::capacityTokens() const
{
    return report ? report->tokensCapacity : defaultCapacityTokens;
}

double PoolEngine::stepSeconds() const
{
    return report && report->stepSeconds > 0 ? report->stepSeconds : defaultStepSeconds;
}

void PoolEngine::recordOccupancy(TimePoint now)
{
    double knownTokens = profile.occupancy() - unexplainedTokens;
    occupancyHistory.emplace_back(now, knownTokens);
    while (occupancyHistory.front().first + occupancyHistoryDuration < now)
        occupancyHistory.pop_front();
}

/// Compares the report with the occupancy that the scheduler had computed at the time of the
/// measurement. The difference is the memory of generations that other owners placed, less the
/// memory that shared prefixes save.
void PoolEngine::onLoadReport(const LoadReport& newReport)
{
    report = newReport;
    double knownTokensAtMeasurement = 0;
    for (const auto& [time, tokens] : occupancyHistory) {
        if (time > newReport.measuredAt)
            break;
        knownTokensAtMeasurement = tokens;
    }
    // Requests in the engine's queue hold no memory yet but will take it before any new
    // request, so the free memory is not available.
    saturated = newReport.waiting > 0 && newReport.tokensUsed > saturatedOccupancy * newReport.tokensCapacity;
    if (newReport.waiting == 0)
        unexplainedTokens = newReport.tokensUsed - knownTokensAtMeasurement;
}

bool PoolEngine::canAccept(const PermitRequest& request, std::size_t maxRunning, TimePoint now) const
{
    if (!inPool || !info.accepting || running.size() >= maxRunning)
        return false;
    if (saturated || !preemptedIds.empty() || health.condition(now) == EngineCondition::Ejected)
        return false;
    const auto& excluded = request.excludedEngines;
    return std::find(excluded.begin(), excluded.end(), info.name) == excluded.end();
}

double PoolEngine::placementCost(const PermitRequest& request, int cachedTokens) const
{
    double prefillCost = (request.promptTokens - cachedTokens * prefixIndex.confidence()) * prefillSecondsPerToken;
    double occupancyCost = fullOccupancyCostSeconds * profile.occupancy() / capacityTokens();
    double domainCost = info.failureDomain == request.failureDomain ? 0 : otherDomainCostSeconds;
    return prefillCost + occupancyCost + domainCost;
}

/// An engine whose memory overflows preempts the newest generations of the lowest priority. New
/// generations are small, so it would have to preempt many. One generation that is large enough to
/// free the memory alone therefore gets a lower priority than the others; a generation that was
/// already preempted is not chosen again.
const GrantedGeneration* PoolEngine::findPreemptionCandidate() const
{
    if (profile.overflowRisk({}, capacityTokens()) < minRiskForCandidate)
        return nullptr;
    const GrantedGeneration* best = nullptr;
    for (const auto& [id, generation] : running) {
        bool eligible = generation.request.serviceClass == ServiceClass::Batch && generation.preemptions == 0 && generation.producedTokens > 0;
        if (!eligible)
            continue;
        bool sufficient = sizeInTokens(generation) >= sufficientCandidateTokens;
        bool bestSufficient = best && sizeInTokens(*best) >= sufficientCandidateTokens;
        bool better = !best || (sufficient && !bestSufficient) || (sufficient == bestSufficient && sufficient == (sizeInTokens(generation) < sizeInTokens(*best)));
        if (better)
            best = &generation;
    }
    return best;
}

}
