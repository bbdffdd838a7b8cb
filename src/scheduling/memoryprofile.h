#pragma once

#include <array>

namespace guavaspan {

/// Numbers of further tokens per generation at which an engine's memory use is predicted.
inline constexpr std::array<int, 10> horizonTokens { 0, 16, 64, 128, 256, 512, 1024, 2048, 4096, 8192 };

/// Memory of one generation: its current tokens and the probability that it still runs at each horizon.
struct Footprint {
    int tokens = 0;
    std::array<double, horizonTokens.size()> survival {};
};

/// Predicted memory use of one engine: mean and variance at each horizon.
class MemoryProfile {
public:
    void clear();
    /// Adds a number of generations with equal footprints that progress independently.
    void add(const Footprint&, double count = 1);

    /// Sets the occupancy that the added footprints do not include; it is constant over all horizons.
    void setOffset(double tokens) { m_offset = tokens; }

    /// Highest overflow probability if the candidate is added, over all horizons up to the last one given.
    double overflowRisk(const Footprint& candidate, double capacityTokens, int lastHorizonTokens = horizonTokens.back()) const;

    /// Current mean occupancy in tokens.
    double occupancy() const { return m_mean[0] + m_offset; }

private:
    std::array<double, horizonTokens.size()> m_mean {};
    std::array<double, horizonTokens.size()> m_variance {};
    double m_offset = 0;
};

}
