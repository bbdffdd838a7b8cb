#pragma once

#include "common/random.h"
#include "scheduling/schedulingtypes.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace guavaspan {

/// Selects the engines in turn.
struct RoundRobinPolicy {
    std::size_t nextIndex = 0;
};

/// Selects the engine with the fewest requests in its last load report.
struct LeastReportedPolicy {
};

/// Draws two engines at random and selects the one with fewer requests in its last load report.
struct TwoChoicesPolicy {
    Random random;
};

/// Places every request immediately, without a queue; a baseline for comparison with PoolScheduler.
class BaselineRouter {
public:
    using Policy = std::variant<RoundRobinPolicy, LeastReportedPolicy, TwoChoicesPolicy>;

    explicit BaselineRouter(Policy);

    void setEngines(std::vector<std::string> names);
    void onLoadReport(const std::string& engine, const LoadReport&);
    std::string choose();

private:
    int reportedRequests(const std::string& engine) const;

    Policy m_policy;
    std::vector<std::string> m_engines;
    std::map<std::string, int> m_reportedRequests;
};

}
