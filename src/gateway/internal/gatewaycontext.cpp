#include "gateway/gatewaycontext.h"

#include "common/hash.h"

#include <charconv>

namespace guavaspan {

namespace {

    constexpr auto maxRequestTimeout = std::chrono::hours(1);
    constexpr const char* timeoutHeader = "X-Request-Timeout-Ms";
    const std::string bearerPrefix = "Bearer ";

}

InFlightGuard::InFlightGuard(GatewayContext& context, std::string organisation)
    : m_context(context)
    , m_organisation(std::move(organisation))
{
    ++m_context.inFlight;
    ++m_context.inFlightByOrganisation[m_organisation];
    m_context.metrics.addLiveStreams(1);
}

InFlightGuard::~InFlightGuard()
{
    --m_context.inFlight;
    if (--m_context.inFlightByOrganisation[m_organisation] == 0)
        m_context.inFlightByOrganisation.erase(m_organisation);
    m_context.metrics.addLiveStreams(-1);
}

RequestScope beginRequest(GatewayContext& context, const HttpExchange& exchange)
{
    auto traceparent = exchange.header("traceparent");
    RequestScope scope;
    scope.id = context.settings.instance.name + "-" + randomId(context.random);
    scope.trace = continueTrace(traceparent, context.random);
    scope.parentSpanId = traceparent.empty() ? "" : scope.trace.spanId;
    scope.trace.spanId = randomId(context.random);
    scope.wallStartTime = std::chrono::system_clock::now();
    scope.startTime = Clock::now();
    scope.deadline = scope.startTime + maxRequestTimeout;
    auto timeoutText = exchange.header(timeoutHeader);
    std::int64_t milliseconds = 0;
    auto [end, parseError] = std::from_chars(timeoutText.data(), timeoutText.data() + timeoutText.size(), milliseconds);
    if (parseError == std::errc {} && milliseconds > 0)
        scope.deadline = std::min(scope.deadline, scope.startTime + Milliseconds(std::min<std::int64_t>(milliseconds, Milliseconds(maxRequestTimeout).count())));
    return scope;
}

Result<std::string> authenticate(const GatewayContext& context, const HttpExchange& exchange)
{
    auto header = exchange.header("Authorization");
    if (!header.starts_with(bearerPrefix))
        return Error { .code = ErrorCode::Unauthorised, .step = Step::Authenticate, .detail = "a Bearer key is required" };
    auto organisation = context.configuration.findOrganisationByKeyHash(sha256Hex(header.substr(bearerPrefix.size())));
    if (!organisation)
        return Error { .code = ErrorCode::Unauthorised, .step = Step::Authenticate, .detail = "the key is unknown" };
    return *organisation;
}

void endRequest(GatewayContext& context, const RequestScope& scope, const std::string& name, const std::string& result)
{
    context.metrics.countRequest(scope.organisation, result);
    context.decisions.record(scope.id, "end", result);
    Span span { .name = name, .context = scope.trace, .parentSpanId = scope.parentSpanId, .start = scope.wallStartTime, .end = std::chrono::system_clock::now(), .attributes = { { "guavaspan.request_id", scope.id }, { "guavaspan.organisation", scope.organisation }, { "guavaspan.result", result } } };
    context.spans.write(span);
    logEvent(LogLevel::Info, "request_ended", { { "request_id", scope.id }, { "organisation", scope.organisation }, { "name", name }, { "result", result }, { "seconds", secondsBetween(scope.startTime, Clock::now()) } });
}

}
