#include "fleet/aggregatorranking.h"

#include "common/hash.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Aggregators of the fleet, so that the loss of one leaves others that have received all reports.
    constexpr std::size_t minAggregators = 3;
    /// Instances of a failure domain that one aggregator serves.
    constexpr std::size_t maxMembers = 150;
    constexpr const char* aggregatorKey = "aggregator";

    std::size_t dividedRoundingUp(std::size_t dividend, std::size_t divisor)
    {
        return (dividend + divisor - 1) / divisor;
    }

}

AggregatorRanking::AggregatorRanking(const std::vector<InstanceRecord>& instances)
{
    using Rank = std::pair<int, std::uint64_t>;
    std::map<std::string, std::vector<std::pair<Rank, std::string>>> candidates;
    for (const auto& instance : instances)
        candidates[instance.failureDomain].emplace_back(Rank(instance.cpuMillicores, rendezvousWeight(instance.name, aggregatorKey)), instance.name);
    for (auto& [domain, ranked] : candidates) {
        std::sort(ranked.rbegin(), ranked.rend());
        auto& names = m_rankedByDomain[domain];
        for (auto& [rank, name] : ranked)
            names.push_back(std::move(name));
    }
}

std::size_t AggregatorRanking::aggregatorsIn(std::size_t instancesOfDomain) const
{
    return std::max(dividedRoundingUp(minAggregators, m_rankedByDomain.size()), dividedRoundingUp(instancesOfDomain, maxMembers));
}

std::vector<std::string> AggregatorRanking::choose(const std::function<bool(const std::string& instance)>& isAvailable) const
{
    std::vector<std::string> chosen;
    for (const auto& [domain, ranked] : m_rankedByDomain) {
        auto missing = aggregatorsIn(ranked.size());
        for (auto name = ranked.begin(); name != ranked.end() && missing > 0; ++name) {
            if (!isAvailable(*name))
                continue;
            chosen.push_back(*name);
            --missing;
        }
    }
    return chosen;
}

}
