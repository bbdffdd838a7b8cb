#include "scheduling/memoryprofile.h"

#include <algorithm>
#include <cmath>

namespace guavaspan {

namespace {

    // Rounding to blocks and the delay of reports cause uncertainty even when
    // every length is known.
    constexpr double extraDeviationTokens = 64;

    double mean(const Footprint& footprint, std::size_t horizon)
    {
        return footprint.survival[horizon] * (footprint.tokens + horizonTokens[horizon]);
    }

    double variance(const Footprint& footprint, std::size_t horizon)
    {
        double size = footprint.tokens + horizonTokens[horizon];
        double probability = footprint.survival[horizon];
        return probability * (1 - probability) * size * size;
    }

    /// Upper tail of the normal distribution.
    double upperTail(double standardScore)
    {
        return 0.5 * std::erfc(standardScore / std::sqrt(2.0));
    }

}

void MemoryProfile::clear()
{
    m_mean.fill(0);
    m_variance.fill(0);
}

void MemoryProfile::add(const Footprint& footprint, double count)
{
    for (std::size_t i = 0; i < horizonTokens.size(); ++i) {
        m_mean[i] += count * mean(footprint, i);
        m_variance[i] += count * variance(footprint, i);
    }
}

double MemoryProfile::overflowRisk(const Footprint& candidate, double capacityTokens, int lastHorizonTokens) const
{
    double maxRisk = 0;
    for (std::size_t i = 0; i < horizonTokens.size() && horizonTokens[i] <= lastHorizonTokens; ++i) {
        double expected = m_mean[i] + m_offset + mean(candidate, i);
        double deviation = std::sqrt(m_variance[i] + variance(candidate, i)) + extraDeviationTokens;
        maxRisk = std::max(maxRisk, upperTail((capacityTokens - expected) / deviation));
    }
    return maxRisk;
}

}
