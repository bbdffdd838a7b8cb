#include "scheduling/baselinerouters.h"

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
    m_reported[engine] = report.running + report.waiting;
}

int BaselineRouter::reported(const std::string& engine) const
{
    auto found = m_reported.find(engine);
    return found == m_reported.end() ? 0 : found->second;
}

std::string BaselineRouter::choose()
{
    auto fewer = [this](const std::string& a, const std::string& b) { return reported(a) < reported(b); };
    return std::visit(Overloaded {
                          [this](RoundRobinRouter& policy) { return m_engines[policy.next++ % m_engines.size()]; },
                          [&](LeastReportedRouter&) { return *std::min_element(m_engines.begin(), m_engines.end(), fewer); },
                          [&](TwoChoicesRouter& policy) {
                              const auto& first = m_engines[policy.random() % m_engines.size()];
                              const auto& second = m_engines[policy.random() % m_engines.size()];
                              return fewer(second, first) ? second : first;
                          },
                      },
        m_policy);
}

}
