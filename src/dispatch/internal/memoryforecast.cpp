#include "dispatch/memoryforecast.h"

#include <algorithm>
#include <cmath>

namespace guavaspan {

namespace {

    /// Spread of output lengths around their estimate, in logarithms. Estimates are right at the median only.
    constexpr double lengthSpread = 0.65;
    /// Ratio of the estimate to the median length.
    constexpr double estimateOverMedian = 1.25;
    /// Lengths so far beyond the estimate are not resolved; the growth is a share of the length there.
    constexpr double maxStandardScore = 4;
    constexpr double minGrowthShare = 0.2;
    /// Tokens that a generation has produced since the last load report, on average: half an interval of reports.
    constexpr double unreportedTokens = 12;
    /// A multiple of the expected growth that generations reach together so rarely that the risk need not be computed.
    constexpr double amplyPlannedGrowth = 3;

    /// Probability that a normal variable is above this.
    double upperTail(double standardScore)
    {
        return 0.5 * std::erfc(standardScore / std::sqrt(2.0));
    }

    /// Probability that a generation produces so many further tokens.
    double survivalOf(double growthTokens, int furtherTokens)
    {
        if (furtherTokens == 0)
            return 1;
        if (growthTokens <= 0)
            return 0;
        double standardScore = std::log(furtherTokens * estimateOverMedian / growthTokens) / lengthSpread;
        return upperTail(standardScore);
    }

    Footprint footprintOf(double heldTokens, double growthTokens)
    {
        Footprint footprint { .tokens = static_cast<int>(std::max(0.0, heldTokens)) };
        for (std::size_t i = 0; i < horizonTokens.size(); ++i)
            footprint.survival[i] = survivalOf(growthTokens, horizonTokens[i]);
        return footprint;
    }

}

double expectedGrowth(int estimatedTokens, int producedTokens)
{
    if (estimatedTokens <= 0)
        return 0;
    if (producedTokens <= 0)
        return estimatedTokens;
    // Mean of the log-normal lengths beyond the tokens produced.
    double standardScore = std::min(maxStandardScore, std::log(producedTokens * estimateOverMedian / estimatedTokens) / lengthSpread);
    double meanLength = estimatedTokens * upperTail(standardScore - lengthSpread) / upperTail(standardScore);
    return std::max(minGrowthShare * producedTokens, meanLength - producedTokens);
}

/// The reports contain sums only, so all generations of an engine are taken to have the average size and growth. Many
/// short requests among long ones then seem to stay longer than they do, which errs on the safe side.
MemoryForecast::MemoryForecast(const TargetLoad& load)
{
    if (load.requests <= 0)
        return;
    double count = load.requests;
    m_profile.add(footprintOf(load.heldTokens / count + unreportedTokens, load.growthTokens / count), count);
}

double MemoryForecast::overflowRisk(const WorkEstimate& estimate, double capacityTokens, int lastHorizonTokens) const
{
    auto candidate = footprintOf(estimate.promptTokens + estimate.copiedTokens, estimate.outputTokens);
    return m_profile.overflowRisk(candidate, capacityTokens, lastHorizonTokens);
}

bool fitsMemory(const TargetLoad& load, const WorkEstimate& estimate, double capacityTokens, const AdmissionRule& rule)
{
    double usableTokens = rule.memoryShare * capacityTokens;
    double ampleTokens = load.heldTokens + estimate.promptTokens + estimate.copiedTokens + amplyPlannedGrowth * (load.growthTokens + estimate.outputTokens);
    if (ampleTokens + unreportedTokens * load.requests <= usableTokens)
        return true;
    return MemoryForecast(load).overflowRisk(estimate, usableTokens, rule.horizonTokens) <= rule.maxOverflowRisk;
}

}
