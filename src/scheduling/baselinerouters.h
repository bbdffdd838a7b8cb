#pragma once

#include "common/random.h"
#include "scheduling/schedulingtypes.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace guavaspan {

/// Hands engines out in turn.
struct RoundRobinRouter {
    std::size_t nextIndex = 0;
};

/// Takes the engine with the fewest requests on its last report.
struct LeastReportedRouter {
};

/// Draws two engines and takes the one with fewer requests on its last report.
struct TwoChoicesRouter {
    Random random;
};

/// Places every request at once, without a queue; what PoolScheduler is measured against.
class BaselineRouter {
public:
    using Policy = std::variant<RoundRobinRouter, LeastReportedRouter, TwoChoicesRouter>;

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
