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
    m_context.retryBudget.onRequest(request.service.name, BootClock::now());
}

bool RetryGate::tryTake(const RelayRequest& request, RetryCause cause)
{
    auto now = BootClock::now();
    auto sharers = m_context.census.sharers(now);
    auto decision = m_context.retryBudget.tryTake(request.service.name, sharers, now);
    m_context.metrics.recordRetry(request.service.name, std::string(toString(cause)), decision.allowed);
    logEvent(LogLevel::Info, "retry", { { "request", request.caller.requestId }, { "service", request.service.name }, { "cause", std::string(toString(cause)) }, { "allowed", decision.allowed }, { "taken", std::int64_t(decision.taken) }, { "limit", decision.limit }, { "requests", std::int64_t(decision.requests) }, { "sharers", std::int64_t(sharers.value_or(0)) }, { "time_left_ms", timeLeft(request).count() } });
    return decision.allowed;
}

}
