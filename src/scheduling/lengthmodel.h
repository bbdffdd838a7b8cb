#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavaspan {

/// Learns how long outputs grow, per service and organisation.
class LengthModel {
public:
    static constexpr int bucketCount = 48;

    /// Records that a generation grew from one length to another without ending.
    void observeGrowth(const std::string& service, const std::string& organisation, int fromLength, int toLength);

    /// Records that a generation ended by itself at this length.
    void observeEnd(const std::string& service, const std::string& organisation, int length);

    /// Chances that a generation which has produced this many tokens produces so many more.
    void survivalProbabilities(const std::string& service, const std::string& organisation, int producedTokens, std::span<const int> tokensAhead, std::span<double> probabilities) const;

    /// Mean of the tokens still to come, counting no further than a horizon.
    double expectedRemaining(const std::string& service, const std::string& organisation, int producedTokens, int horizon) const;

private:
    struct HazardTable {
        std::array<double, bucketCount> exposed {};
        std::array<double, bucketCount> ended {};
        mutable std::array<double, bucketCount + 1> logSurvival {};
        mutable bool stale = true;
    };
    using Key = std::uint64_t;

    static int bucketOf(int length);
    static Key organisationKey(const std::string& service, const std::string& organisation);
    HazardTable& serviceTable(const std::string& service);
    HazardTable& organisationTable(const std::string& service, const std::string& organisation);
    static void decay(HazardTable&);
    const HazardTable* find(const std::string& service, const std::string& organisation) const;
    void updateSurvival(const HazardTable& own, const HazardTable* parent) const;
    double logSurvivalAt(const HazardTable&, double length) const;

    std::unordered_map<std::string, HazardTable> m_services;
    std::unordered_map<Key, HazardTable> m_organisations;
    mutable HazardTable m_prior;
};

}
