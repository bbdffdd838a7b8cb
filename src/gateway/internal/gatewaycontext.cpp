#include "gateway/gatewaycontext.h"

#include "common/hash.h"

#include <charconv>

namespace guavaspan {

namespace {

    constexpr auto longestDeadline = std::chrono::hours(1);
    constexpr const char* deadlineHeader = "X-Request-Timeout-Ms";
    const std::string bearerPrefix = "Bearer ";

}

InFlight::InFlight(GatewayContext& context, std::string organisation)
    : m_context(context)
    , m_organisation(std::move(organisation))
{
    ++m_context.inFlight;
    ++m_context.concurrent[m_organisation];
    m_context.metrics.addLiveStreams(1);
}

InFlight::~InFlight()
{
    --m_context.inFlight;
    if (--m_context.concurrent[m_organisation] == 0)
        m_context.concurrent.erase(m_organisation);
    m_context.metrics.addLiveStreams(-1);
}

RequestScope beginRequest(GatewayContext& context, const HttpExchange& exchange)
{
    auto parent = exchange.header("traceparent");
    RequestScope scope;
    scope.id = context.settings.instance.name + "-" + randomId(context.random);
    scope.trace = continueTrace(parent, context.random);
    scope.parentSpanId = parent.empty() ? "" : scope.trace.spanId;
    scope.trace.spanId = randomId(context.random);
    scope.startedAt = std::chrono::system_clock::now();
    scope.started = Clock::now();
    scope.deadline = scope.started + longestDeadline;
    auto timeout = exchange.header(deadlineHeader);
    std::int64_t milliseconds = 0;
    auto [end, failure] = std::from_chars(timeout.data(), timeout.data() + timeout.size(), milliseconds);
    if (failure == std::errc {} && milliseconds > 0)
        scope.deadline = std::min(scope.deadline, scope.started + Milliseconds(std::min<std::int64_t>(milliseconds, Milliseconds(longestDeadline).count())));
    return scope;
}

Result<std::string> authenticate(const GatewayContext& context, const HttpExchange& exchange)
{
    auto header = exchange.header("Authorization");
    if (!header.starts_with(bearerPrefix))
        return Error { .code = ErrorCode::Unauthorised, .step = Step::Authenticate, .detail = "a Bearer key is required" };
    auto organisation = context.configuration.findOrganisationByKeyHash(sha256Hex(header.substr(bearerPrefix.size())));
    if (!organisation)
        return Error { .code = ErrorCode::Unauthorised, .step = Step::Authenticate, .detail = "the key is not known" };
    return *organisation;
}

void endRequest(GatewayContext& context, const RequestScope& scope, const std::string& name, const std::string& result)
{
    context.metrics.countRequest(scope.organisation, result);
    context.decisions.record(scope.id, "end", result);
    Span span { .name = name, .context = scope.trace, .parentSpanId = scope.parentSpanId, .start = scope.startedAt, .end = std::chrono::system_clock::now(), .attributes = { { "guavaspan.request_id", scope.id }, { "guavaspan.organisation", scope.organisation }, { "guavaspan.result", result } } };
    context.spans.write(span);
    logEvent(LogLevel::Info, "request_ended", { { "request_id", scope.id }, { "organisation", scope.organisation }, { "name", name }, { "result", result }, { "seconds", secondsBetween(scope.started, Clock::now()) } });
}

}
