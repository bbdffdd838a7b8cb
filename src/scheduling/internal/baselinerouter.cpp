#include "scheduling/baselinerouter.h"

#include "common/overloaded.h"

#include <algorithm>

namespace guavaspan {

BaselineRouter::BaselineRouter(Policy policy)
    : m_policy(policy)
{
}

void BaselineRouter::setEngines(std::vector<std::string> names)
{
    m_engines = std::move(names);
}

void BaselineRouter::onLoadReport(const std::string& engine, const LoadReport& report)
{
    m_reportedRequests[engine] = report.running + report.waiting;
}

int BaselineRouter::reportedRequests(const std::string& engine) const
{
    auto found = m_reportedRequests.find(engine);
    return found == m_reportedRequests.end() ? 0 : found->second;
}

std::string BaselineRouter::choose()
{
    auto hasFewerRequests = [this](const std::string& a, const std::string& b) { return reportedRequests(a) < reportedRequests(b); };
    return std::visit(Overloaded {
                          [this](RoundRobinPolicy& policy) { return m_engines[policy.nextIndex++ % m_engines.size()]; },
                          [&](LeastReportedPolicy&) { return *std::min_element(m_engines.begin(), m_engines.end(), hasFewerRequests); },
                          [&](TwoChoicesPolicy& policy) {
                              const auto& first = m_engines[policy.random() % m_engines.size()];
                              const auto& second = m_engines[policy.random() % m_engines.size()];
                              return hasFewerRequests(second, first) ? second : first;
                          },
                      },
        m_policy);
}

}
