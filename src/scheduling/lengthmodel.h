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
    void observeGrowth(const std::string& service, const std::string& organisation, int from, int to);

    /// Records that a generation ended by itself at this length.
    void observeEnd(const std::string& service, const std::string& organisation, int length);

    /// Chances that a generation which has produced this many tokens produces so many more.
    void survivalAhead(const std::string& service, const std::string& organisation, int produced, std::span<const int> more, std::span<double> chances) const;

    /// Mean of the tokens still to come, counting no further than a horizon.
    double expectedRemaining(const std::string& service, const std::string& organisation, int produced, int horizon) const;

private:
    struct Table {
        std::array<double, bucketCount> exposed {};
        std::array<double, bucketCount> ended {};
        mutable std::array<double, bucketCount + 1> logSurvival {};
        mutable bool stale = true;
    };
    using Key = std::uint64_t;

    static int bucketOf(int length);
    static Key keyOf(const std::string& service, const std::string& organisation);
    Table& serviceTable(const std::string& service);
    Table& organisationTable(const std::string& service, const std::string& organisation);
    static void decay(Table&);
    const Table* find(const std::string& service, const std::string& organisation) const;
    void refresh(const Table& own, const Table* parent) const;
    double logSurvivalAt(const Table&, double length) const;

    std::unordered_map<std::string, Table> m_services;
    std::unordered_map<Key, Table> m_organisations;
    mutable Table m_prior;
};

}
