#pragma once

#include "fleet/fleettypes.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace guavaspan {

/// Ranks the instances of each failure domain as aggregators, which collect the reports of all instances. Instances that know the
/// same registrations agree on the ranking without asking each other.
class AggregatorRanking {
public:
    explicit AggregatorRanking(const std::vector<InstanceRecord>&);

    /// The first available instances of each failure domain.
    std::vector<std::string> choose(const std::function<bool(const std::string& instance)>& isAvailable) const;

    friend bool operator==(const AggregatorRanking&, const AggregatorRanking&) = default;

private:
    std::size_t aggregatorsIn(std::size_t instancesOfDomain) const;

    /// Names by failure domain, the first choice first.
    std::map<std::string, std::vector<std::string>> m_rankedByDomain;
};

}
