#include "relay/retrygate.h"

#include "common/log.h"

namespace guavaspan {

std::string_view toString(RetryCause cause)
{
    switch (cause) {
    case RetryCause::NotRun:
        return "not_run";
    case RetryCause::FailedAnswer:
        return "failed_answer";
    case RetryCause::Broken:
        return "broken";
    case RetryCause::TimedOut:
        return "timed_out";
    }
    return "broken";
}

void RetryGate::onRequest(const RelayRequest& request)
{
    m_context.retryBudget.onRequest(request.service.name, Clock::now());
}

bool RetryGate::tryTake(const RelayRequest& request, RetryCause cause)
{
    int instances = m_context.fleet.instanceCount();
    auto decision = m_context.retryBudget.tryTake(request.service.name, instances, Clock::now());
    m_context.metrics.recordRetry(request.service.name, std::string(toString(cause)), decision.allowed);
    logEvent(LogLevel::Info, "retry", { { "request", request.caller.requestId }, { "service", request.service.name }, { "cause", std::string(toString(cause)) }, { "allowed", decision.allowed }, { "taken", std::int64_t(decision.taken) }, { "limit", decision.limit }, { "requests", std::int64_t(decision.requests) }, { "instances", std::int64_t(instances) }, { "time_left_ms", timeLeft(request).count() } });
    return decision.allowed;
}

}
