#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavaspan {

/// Estimates the distribution of output lengths per service and organisation.
class LengthModel {
public:
    static constexpr int bucketCount = 48;

    /// Records that a generation grew from one length to another without ending.
    void observeGrowth(const std::string& service, const std::string& organisation, int fromLength, int toLength);

    /// Records that a generation completed at this length.
    void observeEnd(const std::string& service, const std::string& organisation, int length);

    /// Probabilities that a generation with this many tokens produces each of the given numbers of further tokens.
    void survivalProbabilities(const std::string& service, const std::string& organisation, int producedTokens, std::span<const int> tokensAhead, std::span<double> probabilities) const;

    /// Expected number of further tokens, counting at most horizon tokens.
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
    const HazardTable* findTable(const std::string& service, const std::string& organisation) const;
    void updateSurvival(const HazardTable& table, const HazardTable* parent) const;
    double logSurvivalAt(const HazardTable&, double length) const;

    std::unordered_map<std::string, HazardTable> m_services;
    std::unordered_map<Key, HazardTable> m_organisations;
    mutable HazardTable m_prior;
};

}
