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
    auto [entry, created] = m_recordsByRequest.try_emplace(requestId);
    entry->second.push_back({ .time = std::chrono::system_clock::now(), .step = std::move(step), .reason = std::move(reason), .peer = std::move(peer), .detail = std::move(detail) });
    if (!created)
        return;
    m_insertionOrder.push_back(requestId);
    if (m_insertionOrder.size() <= m_maxRequests)
        return;
    m_recordsByRequest.erase(m_insertionOrder.front());
    m_insertionOrder.pop_front();
}

const std::vector<DecisionRecord>* DecisionLog::find(const std::string& requestId) const
{
    auto found = m_recordsByRequest.find(requestId);
    return found == m_recordsByRequest.end() ? nullptr : &found->second;
}

}
