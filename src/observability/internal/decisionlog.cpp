#include "observability/decisionlog.h"

#include "common/log.h"

namespace guavaspan {

DecisionLog::DecisionLog(std::size_t maxRequests)
    : m_maxRequests(maxRequests)
{
}

void DecisionLog::record(const std::string& requestId, std::string step, std::string reason, std::string peer, std::string detail)
{
    logEvent(LogLevel::Debug, "decision", { { "request_id", requestId }, { "step", step }, { "reason", reason }, { "peer", peer }, { "detail", detail } });
    auto [entry, created] = m_records.try_emplace(requestId);
    entry->second.push_back({ .time = std::chrono::system_clock::now(), .step = std::move(step), .reason = std::move(reason), .peer = std::move(peer), .detail = std::move(detail) });
    if (!created)
        return;
    m_order.push_back(requestId);
    if (m_order.size() <= m_maxRequests)
        return;
    m_records.erase(m_order.front());
    m_order.pop_front();
}

const std::vector<DecisionRecord>* DecisionLog::find(const std::string& requestId) const
{
    auto found = m_records.find(requestId);
    return found == m_records.end() ? nullptr : &found->second;
}

}
