#include "relay/requesthandler.h"

#include "common/log.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Time to come back after while no configuration is known: it is read in tens of ms.
    constexpr auto retryAfterNoConfiguration = Milliseconds(500);
    /// Time to come back after while keys cannot be confirmed.
    constexpr auto retryAfterUnconfirmed = Milliseconds(1000);
    /// Time to come back after for a request that crashes targets: operators have to look at it first.
    constexpr auto retryAfterTargetCrashes = Seconds(60);
    /// A refusal of a stopping instance: another one can take the request at once.
    constexpr auto retryAfterStopping = Milliseconds(50);
    /// Configurations are in force everywhere within 2 s; an older view may lack a new route or key.
    constexpr auto maxConfigurationAgeForDenial = Milliseconds(2500);
    /// Kept free before the end of a stop.
    constexpr auto stopMargin = Milliseconds(1500);
    /// Requests without a deadline wait no longer than this.
    constexpr auto maxRequestTime = Seconds(120);
    /// Time that an engine needs for one token, for what can end before a stop.
    constexpr auto timePerToken = Milliseconds(11);

    std::string pathOf(const HttpExchange& exchange)
    {
        return exchange.path();
    }

}

/// Why a request goes on, or the refusal it gets.
struct RequestHandler::Admission {
    std::shared_ptr<const RouteTable> table;
    const Route* route = nullptr;
    const ServiceInfo* service = nullptr;
    std::string organisation;
    int priority = 0;
    /// 0 if the request goes on.
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

bool RequestHandler::exceedsStopLimit(const Route& route, const CallerRequest& caller) const
{
    if (!m_context.stoppingSince || route.retrySafety != RetrySafety::Stream)
        return false;
    auto end = *m_context.stoppingSince + m_context.stopLimit - stopMargin;
    int tokens = m_context.outputs.expectedTokens(route.name, caller.guessedOutputTokens, caller.maxOutputTokens);
    return Clock::now() + tokens * timePerToken > end;
}

RequestHandler::Admission RequestHandler::admit(const HttpExchange& exchange, const CallerRequest& caller) const
{
    Admission admission { .table = m_context.gate.table() };
    auto refuseWith = [&](unsigned status, const char* reason, Clock::duration retryAfter) {
        admission.refusalStatus = status;
        admission.reason = reason;
        admission.retryAfter = retryAfter;
        return admission;
    };
    if (!admission.table)
        return refuseWith(503, "no_configuration", retryAfterNoConfiguration);
    auto now = BootClock::now();
    // An old view cannot tell a route or key that was just added from one that never was.
    bool mayDeny = m_context.gate.age(now) <= maxConfigurationAgeForDenial;
    admission.route = admission.table->match(exchange.header("Host"), pathOf(exchange));
    if (!admission.route)
        return mayDeny ? refuseWith(404, "no_route", {}) : refuseWith(503, "configuration_unconfirmed", retryAfterUnconfirmed);
    admission.priority = admission.route->priority;
    if (admission.table->requiresKeys() && !admission.route->keyless) {
        if (!m_context.gate.keysAreCurrent(now))
            return refuseWith(503, "keys_unconfirmed", retryAfterUnconfirmed);
        const auto* organisation = admission.table->organisationForKey(caller.key);
        if (!organisation)
            return mayDeny ? refuseWith(401, "unknown_key", {}) : refuseWith(503, "configuration_unconfirmed", retryAfterUnconfirmed);
        admission.organisation = organisation->name;
        admission.priority = organisation->priority.value_or(admission.priority);
    }
    if (m_context.crashes.refuses(caller.content, Clock::now()))
        return refuseWith(503, "crashes_targets", retryAfterTargetCrashes);
    if (exceedsStopLimit(*admission.route, caller)) {
        admission.closesConnection = true;
        return refuseWith(503, "stopping", retryAfterStopping);
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
        exchange.closeAfterAnswer();
    if (admission.refusalStatus == 503)
        co_await sendRefusal(exchange, admission.refusalStatus, admission.reason, admission.retryAfter);
    else
        co_await sendFailure(exchange, admission.refusalStatus, admission.reason);
    co_return result;
}

Awaitable<RelayResult> RequestHandler::relay(HttpExchange& exchange, const Admission& admission, const CallerRequest& caller, TimePoint arrivedAt)
{
    CallerWatch callerWatch(exchange);
    Clock::duration timeLimit = maxRequestTime;
    if (caller.timeLeft)
        timeLimit = std::min<Clock::duration>(timeLimit, *caller.timeLeft);
    if (admission.route->timeout.count() > 0)
        timeLimit = std::min<Clock::duration>(timeLimit, admission.route->timeout);
    RelayRequest request {
        .exchange = exchange,
        .callerWatch = callerWatch,
        .table = admission.table,
        .route = *admission.route,
        .service = *admission.service,
        .caller = caller,
        .organisation = admission.organisation,
        .priority = admission.priority,
        .arrivedAt = arrivedAt,
        .deadline = arrivedAt + timeLimit,
    };
    if (admission.route->retrySafety == RetrySafety::Stream)
        co_return co_await m_streamRelay.run(request);
    co_return co_await m_plainRelay.run(request);
}

void RequestHandler::reportResult(const HttpExchange& exchange, const Admission& admission, const CallerRequest& caller, const RelayResult& result, TimePoint arrivedAt)
{
    auto now = Clock::now();
    std::string route = admission.route ? admission.route->name : "none";
    m_context.metrics.recordRequest(route, result.reason, secondsBetween(arrivedAt, now));
    auto milliseconds = [](Clock::duration duration) -> std::int64_t { return std::chrono::duration_cast<Milliseconds>(duration).count(); };
    logEvent(LogLevel::Info, "request_ended",
        { { "request", caller.requestId }, { "route", route }, { "organisation", admission.organisation }, { "status", std::int64_t(result.status) }, { "reason", result.reason }, { "target", result.target }, { "detail", result.detail }, { "sends", std::int64_t(result.sends) }, { "events", result.events }, { "moves", std::int64_t(result.moves) }, { "waited_ms", milliseconds(result.waited) }, { "first_event_ms", milliseconds(result.firstEventDelay) }, { "longest_pause_ms", milliseconds(result.longestPause) }, { "took_ms", milliseconds(now - arrivedAt) }, { "configuration", admission.table ? admission.table->version() : 0 }, { "configuration_age_ms", milliseconds(m_context.gate.age(BootClock::now())) }, { "caller", toString(exchange.remote()) } });
}

Awaitable<> RequestHandler::handle(HttpExchange& exchange)
{
    auto arrivedAt = Clock::now();
    auto caller = m_context.wire.parseCallerRequest(exchange.request());
    auto admission = admit(exchange, caller);
    ++m_context.inFlight;
    if (m_context.stoppingSince)
        exchange.closeAfterAnswer();
    RelayResult result;
    if (admission.refusalStatus != 0)
        result = co_await rejectRequest(exchange, admission);
    else
        result = co_await relay(exchange, admission, caller, arrivedAt);
    --m_context.inFlight;
    reportResult(exchange, admission, caller, result, arrivedAt);
}

}
