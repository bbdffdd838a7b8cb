#pragma once

#include <array>

namespace guavaspan {

/// Token steps ahead at which an engine's memory is foreseen.
inline constexpr std::array<int, 10> horizonTokens { 0, 16, 64, 128, 256, 512, 1024, 2048, 4096, 8192 };

/// Memory that one generation holds now and may hold later.
struct Footprint {
    int tokens = 0;
    std::array<double, horizonTokens.size()> survival {};
};

/// Foreseen memory of one engine: mean and variance at each horizon.
class MemoryProfile {
public:
    void clear();
    void add(const Footprint&);

    /// Occupancy not explained by known generations, constant over all horizons.
    void setOffset(double tokens) { m_offset = tokens; }

    /// Chance of overflow at the worst horizon if the candidate joins.
    double overflowRisk(const Footprint& candidate, double capacityTokens) const;

    /// Mean occupancy now.
    double occupancy() const { return m_mean[0] + m_offset; }

private:
    std::array<double, horizonTokens.size()> m_mean {};
    std::array<double, horizonTokens.size()> m_variance {};
    double m_offset = 0;
};

}
