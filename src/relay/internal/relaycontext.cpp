#include "relay/relaycontext.h"

#include "common/log.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace guavaspan {

namespace {

    constexpr std::array hopByHopHeaders { "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "content-length", "upgrade" };

    /// Longest time for which a target that refused a request gets none.
    constexpr double maxPauseSeconds = 600;

    Reply problemReply(unsigned status, const std::string& reason, const char* outcome)
    {
        auto body = fmt::format(R"({{"type":"about:blank","status":{},"code":"{}","outcome":"{}"}})", status, reason, outcome);
        return { .status = status, .contentType = "application/problem+json", .body = std::move(body) };
    }

}

CallerWatch::CallerWatch(HttpExchange& exchange)
    : m_state(std::make_shared<State>())
{
    exchange.onCallerDisconnect([state = m_state] {
        state->gone = true;
        if (state->cancelAction)
            state->cancelAction();
    });
}

CallerWatch::~CallerWatch()
{
    m_state->cancelAction = nullptr;
}

void CallerWatch::cancelOperation()
{
    if (m_state->cancelAction)
        m_state->cancelAction();
}

void RelayRequest::endWithStop(TimePoint requestsEndAt)
{
    if (requestsEndAt >= deadline)
        return;
    deadline = requestsEndAt;
    endsWithStop = true;
}

Fingerprint fingerprintOf(const std::string& organisation, const HttpRequest& request)
{
    return fingerprintOf(organisation, std::string(request.target()), request.body());
}

Awaitable<> sendRefusal(HttpExchange& exchange, unsigned status, const std::string& reason, Clock::duration retryAfter)
{
    auto reply = problemReply(status, reason, "not_run");
    reply.headers["Retry-After"] = fmt::format("{:.2f}", std::chrono::duration<double>(retryAfter).count());
    co_await exchange.send(std::move(reply));
}

Awaitable<> sendFailure(HttpExchange& exchange, unsigned status, const std::string& reason)
{
    auto reply = problemReply(status, reason, status < 500 ? "not_run" : "unknown");
    co_await exchange.send(std::move(reply));
}

HttpResponse withoutHopByHopHeaders(const http::response_header<>& header)
{
    HttpResponse response { header.result(), 11 };
    response.result(header.result_int());
    for (const auto& field : header) {
        bool hopByHop = std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(), [&](const char* name) { return beast::iequals(field.name_string(), name); });
        if (!hopByHop)
            response.insert(field.name_string(), field.value());
    }
    return response;
}

HttpResponse passedOnAnswer(const HttpRequest& request, const http::response_header<>& header, std::string body)
{
    auto response = withoutHopByHopHeaders(header);
    auto length = header.find(http::field::content_length);
    if (request.method() == http::verb::head && length != header.end())
        response.set(http::field::content_length, length->value());
    response.body() = std::move(body);
    return response;
}

Milliseconds timeLeft(const RelayRequest& request)
{
    auto left = std::chrono::duration_cast<Milliseconds>(request.deadline - Clock::now());
    return std::max(Milliseconds(0), left);
}

SendGate makeSendGate(RelayContext& context, const RelayRequest& request)
{
    return { { .crashGuard = context.crashGuard, .promptGuard = context.promptGuard, .trials = context.trials, .targetLimits = context.targetLimits, .directory = context.directory, .dispatcher = context.dispatcher }, request.service.name, request.fingerprint, request.caller.sharedParts, request.route.latencyObjective };
}

TargetResponseHead readResponseHead(const RelayContext& context, const RelayRequest& request, const TargetEntry& target, const http::response_header<>& header)
{
    auto responseHead = context.wireFormat.parseResponseHead(header);
    bool ofAnotherRequest = !responseHead.requestId.empty() && responseHead.requestId != request.caller.requestId;
    if (responseHead.notRun && ofAnotherRequest) {
        logEvent(LogLevel::Warning, "refusal_of_another_request", { { "request", request.caller.requestId }, { "answered", responseHead.requestId }, { "target", target.id }, { "status", std::int64_t(responseHead.status) } });
        responseHead.notRun = false;
    }
    return responseHead;
}

void recordConnection(RelayContext& context, const RelayRequest& request, const TargetEntry& target, bool connected)
{
    auto& path = context.dispatcher.targetPath();
    if (connected)
        path.onConnected(target);
    else if (!request.callerWatch.gone() && Clock::now() < request.deadline)
        path.onConnectFailed(target);
}

void recordBodyEnd(RelayContext& context, const RelayRequest& request, const TargetConnection& connection, const Result<std::string>& lastRead)
{
    bool endedByRelay = request.callerWatch.gone() || request.cut;
    if (!connection.bodyEndsAtClose() || endedByRelay)
        return;
    if (lastRead)
        context.metrics.recordUnframedAnswer("closed");
    else if (lastRead.error().code == ErrorCode::LinkBroken)
        context.metrics.recordUnframedAnswer("broken");
    else if (lastRead.error().code == ErrorCode::Timeout)
        context.metrics.recordUnframedAnswer("deadline");
}

void recordCut(RelayContext& context, const RelayRequest& request, TimePoint now)
{
    context.metrics.recordCutRequest(request.route.name);
    auto age = std::chrono::duration_cast<Milliseconds>(now - request.arrivedAt).count();
    auto sinceStop = std::chrono::duration_cast<Milliseconds>(BootClock::now() - context.stop->signalledAt()).count();
    logEvent(LogLevel::Warning, "request_cut", { { "request", request.caller.requestId }, { "route", request.route.name }, { "answer_started", request.exchange.responseStarted() }, { "age_ms", age }, { "since_stop_ms", sinceStop }, { "caller", toString(request.exchange.remote()) } });
}

void recordTargetState(RelayContext& context, const TargetEntry& target, const TargetResponseHead& responseHead)
{
    if (responseHead.fromOtherTarget)
        return;
    if (responseHead.draining)
        context.onTargetDraining(target);
    auto& brittleServices = context.dispatcher.brittleServices();
    if (responseHead.survivedRejectionsUnreadable)
        logEvent(LogLevel::Warning, "target_brittleness_unreadable", { { "target", target.id } });
    else
        brittleServices.onAnswer(target, responseHead.survivedRejections);
    bool rejected = responseHead.notRun && responseHead.status == 503;
    auto pause = rejected ? brittleServices.pauseAfterRejection(target.service) : std::nullopt;
    if (pause)
        context.targetLimits.onPauseRequested(target, *pause, Clock::now());
    if (responseHead.retryAfterSeconds)
        context.targetLimits.onPauseRequested(target, fromSeconds(std::min(*responseHead.retryAfterSeconds, maxPauseSeconds)), Clock::now());
    else if (responseHead.retryAfterUnreadable)
        logEvent(LogLevel::Warning, "target_retry_after_unreadable", { { "target", target.id } });
    if (responseHead.warmUpRemainingUnreadable)
        logEvent(LogLevel::Warning, "target_warm_up_unreadable", { { "target", target.id } });
    else if (responseHead.warmUpRemaining)
        context.targetLimits.onWarmUpAnswer(target, *responseHead.warmUpRemaining, Clock::now());
    if (responseHead.requestLimitUnreadable)
        logEvent(LogLevel::Warning, "target_limit_unreadable", { { "target", target.id } });
    else
        context.targetLimits.onAnswer(target, responseHead.requestLimit, Clock::now());
}

}
