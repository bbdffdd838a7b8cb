#include "relay/requesthandler.h"

#include "common/hash.h"
#include "common/log.h"
#include "relay/activerequests.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Retry-After while no configuration is loaded; loading takes tens of ms.
    constexpr auto retryAfterNoConfiguration = Milliseconds(500);
    /// Retry-After while keys or the configuration cannot be confirmed as current.
    constexpr auto retryAfterUnconfirmed = Milliseconds(1000);
    /// Retry-After while this instance stops; another instance can take the request at once.
    constexpr auto retryAfterStopping = Milliseconds(50);
    /// Time limit for all requests; the only one for a request without a deadline on a route without a timeout.
    constexpr auto maxRequestTime = Seconds(120);
    /// Time that a crowded engine needs for one token. A preemption or a long prompt beside it adds to that.
    constexpr auto crowdedTimePerToken = Milliseconds(22);

    std::string pathOf(const HttpExchange& exchange)
    {
        return exchange.path();
    }

    Clock::duration timeLimitOf(const Route& route, const CallerRequest& caller)
    {
        Clock::duration timeLimit = maxRequestTime;
        if (caller.timeLeft)
            timeLimit = std::min<Clock::duration>(timeLimit, *caller.timeLeft);
        if (route.timeout.count() > 0)
            timeLimit = std::min<Clock::duration>(timeLimit, route.timeout);
        return timeLimit;
    }

}

/// Routing of an admitted request, or the reason for its refusal.
struct RequestHandler::Admission {
    std::shared_ptr<const RouteTable> table;
    const Route* route = nullptr;
    const ServiceInfo* service = nullptr;
    std::string organisation;
    int priority = 0;
    Fingerprint fingerprint = 0;
    /// HTTP status; 0 if the request is admitted.
    unsigned refusalStatus = 0;
    std::string reason;
    Clock::duration retryAfter {};
    bool closesConnection = false;
};

RequestHandler::RequestHandler(RelayContext& context)
    : m_context(context)
    , m_plainRelay(context)
    , m_streamRelay(context)
{
}

RequestDuration RequestHandler::durationOf(const Route& route, const CallerRequest& caller) const
{
    auto timeLimit = timeLimitOf(route, caller);
    if (route.retrySafety != RetrySafety::Stream)
        return { .expected = route.latencyObjective, .longest = timeLimit };
    // A stream that outlasts its estimate is cut after seconds of work, and a refused one starts anew elsewhere at once, so that
    // the estimate assumes as many tokens as the caller allows.
    auto expected = timeLimit;
    if (caller.maxOutputTokens > 0)
        expected = std::min<Clock::duration>(timeLimit, route.latencyObjective + caller.maxOutputTokens * crowdedTimePerToken);
    return { .expected = expected, .longest = timeLimit };
}

RequestHandler::Admission RequestHandler::admit(const HttpExchange& exchange, const CallerRequest& caller) const
{
    Admission admission { .table = m_context.configuration.table() };
    auto refuseWith = [&](unsigned status, const char* reason, Clock::duration retryAfter) {
        admission.refusalStatus = status;
        admission.reason = reason;
        admission.retryAfter = retryAfter;
        return admission;
    };
    if (!admission.table)
        return refuseWith(503, "no_configuration", retryAfterNoConfiguration);
    // The peer answers its caller as the newer configuration says.
    if (caller.relayedUnderVersion && admission.table->version() < *caller.relayedUnderVersion)
        return refuseWith(statusNotRelayed, "older_configuration", retryAfterNoConfiguration);
    auto now = BootClock::now();
    // An outdated configuration cannot distinguish an unknown route or key from one that was just added.
    bool mayDeny = m_context.configuration.age(now) < m_context.configurationTime;
    admission.route = admission.table->match(exchange.header("Host"), pathOf(exchange));
    if (!admission.route)
        return mayDeny ? refuseWith(404, "no_route", {}) : refuseWith(503, "configuration_unconfirmed", retryAfterUnconfirmed);
    admission.priority = admission.route->priority;
    if (admission.table->requiresKeys() && !admission.route->keyless) {
        if (!m_context.configuration.keysAreCurrent(now))
            return refuseWith(503, "keys_unconfirmed", retryAfterUnconfirmed);
        const auto* organisation = admission.table->organisationForKey(caller.key);
        if (!organisation)
            return mayDeny ? refuseWith(401, "unknown_key", {}) : refuseWith(503, "configuration_unconfirmed", retryAfterUnconfirmed);
        admission.organisation = organisation->name;
        admission.priority = organisation->priority.value_or(admission.priority);
    }
    admission.fingerprint = fingerprintOf(admission.organisation, exchange.request());
    if (m_context.stop && !m_context.stop->mayAdmit(durationOf(*admission.route, caller), now)) {
        admission.closesConnection = true;
        return refuseWith(503, reasonStopping, retryAfterStopping);
    }
    std::uniform_real_distribution<double> uniform(0, 1);
    admission.service = admission.table->service(pickService(*admission.route, uniform(m_context.random)));
    if (!admission.service)
        return refuseWith(503, "no_service", retryAfterUnconfirmed);
    return admission;
}

Awaitable<RelayResult> RequestHandler::rejectRequest(HttpExchange& exchange, const Admission& admission)
{
    RelayResult result { .status = admission.refusalStatus, .reason = admission.reason };
    if (admission.closesConnection)
        exchange.closeAfterResponse();
    if (admission.refusalStatus == 503 || admission.refusalStatus == statusNotRelayed)
        co_await sendRefusal(exchange, admission.refusalStatus, admission.reason, admission.retryAfter);
    else
        co_await sendFailure(exchange, admission.refusalStatus, admission.reason);
    co_return result;
}

Awaitable<RelayResult> RequestHandler::relay(HttpExchange& exchange, const Admission& admission, const CallerRequest& caller, TimePoint arrivedAt)
{
    CallerWatch callerWatch(exchange);
    RelayRequest request {
        .exchange = exchange,
        .callerWatch = callerWatch,
        .table = admission.table,
        .route = *admission.route,
        .service = *admission.service,
        .caller = caller,
        .organisation = admission.organisation,
        .priority = admission.priority,
        .fingerprint = admission.fingerprint,
        .arrivedAt = arrivedAt,
        .deadline = arrivedAt + timeLimitOf(*admission.route, caller),
    };
    if (m_context.stop)
        request.endWithStop(toSteadyTime(m_context.stop->requestsEndAt()));
    ActiveRequests::Entry entry(m_context.activeRequests, request);
    RelayResult result;
    if (admission.route->retrySafety == RetrySafety::Stream)
        result = co_await m_streamRelay.run(request);
    else
        result = co_await m_plainRelay.run(request);
    // The end of the stop recorded the others.
    if (result.reason == reasonStopping && !request.cut)
        recordCut(m_context, request, Clock::now());
    co_return result;
}

void RequestHandler::reportResult(const HttpExchange& exchange, const Admission& admission, const CallerRequest& caller, const RelayResult& result, TimePoint arrivedAt)
{
    auto now = Clock::now();
    std::string route = admission.route ? admission.route->name : "none";
    m_context.metrics.recordRequest(route, result.reason, secondsBetween(arrivedAt, now));
    auto milliseconds = [](Clock::duration duration) -> std::int64_t { return std::chrono::duration_cast<Milliseconds>(duration).count(); };
    logEvent(LogLevel::Info, "request_ended",
        { { "request", caller.requestId }, { "fingerprint", hexOf(admission.fingerprint) }, { "route", route }, { "organisation", admission.organisation }, { "status", std::int64_t(result.status) }, { "reason", result.reason }, { "target", result.target }, { "detail", result.detail }, { "sends", std::int64_t(result.sends) }, { "events", result.events }, { "moves", std::int64_t(result.moves) }, { "waited_ms", milliseconds(result.waitTime) }, { "first_event_ms", milliseconds(result.firstEventDelay) }, { "longest_pause_ms", milliseconds(result.longestPause) }, { "took_ms", milliseconds(now - arrivedAt) }, { "configuration", admission.table ? admission.table->version() : 0 }, { "configuration_age_ms", milliseconds(m_context.configuration.age(BootClock::now())) }, { "since_stop_ms", m_context.stop ? milliseconds(BootClock::now() - m_context.stop->signalledAt()) : -1 }, { "caller", toString(exchange.remote()) } });
}

Awaitable<> RequestHandler::handle(HttpExchange& exchange)
{
    auto arrivedAt = Clock::now();
    auto caller = m_context.wireFormat.parseCallerRequest(exchange.request());
    auto admission = admit(exchange, caller);
    ++m_context.inFlight;
    if (m_context.stop)
        exchange.closeAfterResponse();
    RelayResult result;
    if (admission.refusalStatus != 0)
        result = co_await rejectRequest(exchange, admission);
    else
        result = co_await relay(exchange, admission, caller, arrivedAt);
    --m_context.inFlight;
    ++m_context.endedRequests;
    reportResult(exchange, admission, caller, result, arrivedAt);
}

}
