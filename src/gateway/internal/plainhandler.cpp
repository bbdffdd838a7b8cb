#include "gateway/plainhandler.h"

#include "common/overloaded.h"

#include "common/hash.h"
#include "gateway/problem.h"

#include <algorithm>

namespace guavaspan {

namespace {

    const std::string servicesPrefix = "/services/";
    constexpr auto maxCallDuration = Seconds(30);
    constexpr std::size_t maxIdempotencyKeyLength = 256;
    constexpr std::size_t maxIdempotentAttempts = 3;

    const ServiceRoute* findRoute(const Service& service, const std::string& path, const std::string& method)
    {
        const ServiceRoute* longestMatch = nullptr;
        for (const auto& route : service.routes) {
            if (!path.starts_with(route.pathPrefix))
                continue;
            const auto& methods = route.methods;
            if (!methods.empty() && std::find(methods.begin(), methods.end(), method) == methods.end())
                continue;
            if (!longestMatch || route.pathPrefix.size() > longestMatch->pathPrefix.size())
                longestMatch = &route;
        }
        return longestMatch;
    }

    Reply makeReply(const StoredReply& stored, const std::string& requestId, bool replayed)
    {
        Reply reply { .status = stored.status, .contentType = stored.contentType, .body = stored.body };
        reply.headers = { { "X-Request-Id", requestId } };
        if (replayed)
            reply.headers["Idempotency-Replayed"] = "true";
        return reply;
    }

    StoredReply toStoredReply(const HttpResponse& response)
    {
        return { .status = response.result_int(), .contentType = std::string(response[http::field::content_type]), .body = response.body() };
    }

}

PlainHandler::PlainHandler(GatewayContext& context, HttpExchange& exchange)
    : m_context(context)
    , m_exchange(exchange)
    , m_scope(beginRequest(context, exchange))
{
}

Awaitable<> PlainHandler::sendError(Error error, Clock::duration retryAfter)
{
    m_result = std::string(toString(error.code));
    m_context.decisions.record(m_scope.id, std::string(toString(error.step)), m_result, error.peer, error.detail);
    auto reply = problemReply(error, { .requestId = m_scope.id, .retryAfter = retryAfter });
    co_await m_exchange.send(std::move(reply));
}

Awaitable<> PlainHandler::run()
{
    auto organisation = authenticate(m_context, m_exchange);
    if (!organisation) {
        co_await sendError(organisation.error());
        co_return;
    }
    m_scope.organisation = *organisation;
    InFlightGuard inFlight(m_context, m_scope.organisation);
    auto resolvedRoute = resolve();
    if (m_context.stopping) {
        Error stoppingError { .code = ErrorCode::Stopping, .step = Step::Admit, .detail = "this instance is stopping", .outcome = Outcome::NotRun };
        co_await sendError(stoppingError, Seconds(1));
    } else if (!resolvedRoute) {
        co_await sendError(resolvedRoute.error());
    } else if (resolvedRoute->idempotent) {
        co_await runIdempotent(*resolvedRoute);
    } else {
        co_await runClaimed(*resolvedRoute);
    }
    endRequest(m_context, m_scope, "plain", m_result);
}

Result<PlainHandler::ResolvedRoute> PlainHandler::resolve() const
{
    auto servicePath = m_exchange.path().substr(servicesPrefix.size());
    auto slash = servicePath.find('/');
    ResolvedRoute resolvedRoute { .service = servicePath.substr(0, slash), .path = slash == std::string::npos ? "/" : servicePath.substr(slash) };
    const auto& configuration = m_context.configuration.current();
    auto service = configuration.services.find(resolvedRoute.service);
    if (service == configuration.services.end() || service->second.type != ServiceType::Plain)
        return Error { .code = ErrorCode::NotFound, .step = Step::Validate, .detail = "no plain service " + resolvedRoute.service };
    const auto* route = findRoute(service->second, resolvedRoute.path, std::string(m_exchange.request().method_string()));
    if (!route)
        return Error { .code = ErrorCode::NotFound, .step = Step::Validate, .detail = "no route for this path and method" };
    resolvedRoute.idempotent = route->idempotent;
    for (const auto& target : service->second.targets) {
        if (!m_context.engines.isDraining(target))
            resolvedRoute.targets.push_back(target);
    }
    if (resolvedRoute.targets.empty())
        return Error { .code = ErrorCode::Unavailable, .step = Step::Admit, .detail = "every target of the service is draining" };
    auto firstTarget = static_cast<std::ptrdiff_t>(m_context.random() % resolvedRoute.targets.size());
    std::rotate(resolvedRoute.targets.begin(), resolvedRoute.targets.begin() + firstTarget, resolvedRoute.targets.end());
    return resolvedRoute;
}

HttpCall PlainHandler::makeCall(const ResolvedRoute& resolvedRoute, std::size_t attempt) const
{
    const auto& target = resolvedRoute.targets[attempt % resolvedRoute.targets.size()];
    const auto& request = m_exchange.request();
    auto requestTarget = std::string(request.target());
    auto query = requestTarget.find('?');
    HttpCall call { .endpoint = m_context.configuration.current().targets.at(target).endpoint, .method = std::string(request.method_string()), .target = resolvedRoute.path + (query == std::string::npos ? "" : requestTarget.substr(query)), .body = request.body() };
    call.timeout = std::min<Clock::duration>(maxCallDuration, m_scope.deadline - Clock::now());
    call.headers["traceparent"] = m_scope.trace.toTraceparent();
    call.headers["X-Request-Id"] = m_scope.id;
    for (const char* name : { "Content-Type", "Accept", "Idempotency-Key" }) {
        auto value = m_exchange.header(name);
        if (!value.empty())
            call.headers[name] = value;
    }
    return call;
}

Awaitable<Result<HttpResponse>> PlainHandler::dispatch(const ResolvedRoute& resolvedRoute, std::size_t attempt)
{
    auto call = makeCall(resolvedRoute, attempt);
    auto target = resolvedRoute.targets[attempt % resolvedRoute.targets.size()];
    auto response = co_await callHttp(std::move(call));
    m_context.decisions.record(m_scope.id, "dispatch", response ? "answered" : std::string(toString(response.error().code)), target);
    co_return response;
}

Awaitable<> PlainHandler::sendResponse(const HttpResponse& response)
{
    auto reply = makeReply(toStoredReply(response), m_scope.id, false);
    co_await m_exchange.send(std::move(reply));
}

Awaitable<> PlainHandler::runIdempotent(ResolvedRoute resolvedRoute)
{
    Error lastError;
    for (std::size_t attempt = 0; attempt < maxIdempotentAttempts; ++attempt) {
        auto response = co_await dispatch(resolvedRoute, attempt);
        if (response) {
            co_await sendResponse(*response);
            co_return;
        }
        lastError = response.error();
        if (Clock::now() >= m_scope.deadline)
            break;
    }
    co_await sendError(lastError, Seconds(1));
}

Awaitable<> PlainHandler::runClaimed(ResolvedRoute resolvedRoute)
{
    auto key = m_exchange.header("Idempotency-Key");
    if (key.empty() || key.size() > maxIdempotencyKeyLength) {
        Error keyError { .code = ErrorCode::BadRequest, .step = Step::Claim, .detail = "this route is not idempotent: an Idempotency-Key of 1 to 256 characters is required", .outcome = Outcome::NotRun };
        co_await sendError(keyError);
        co_return;
    }
    auto nowMs = unixMilliseconds();
    ClaimRequest request;
    request.key = { .organisation = m_scope.organisation, .service = resolvedRoute.service, .key = key };
    request.bodyDigest = sha256Hex(resolvedRoute.path + "\n" + m_exchange.request().body()).substr(0, 32);
    request.nonce = randomId(m_context.random) + randomId(m_context.random);
    request.nowMs = nowMs;
    request.deadlineMs = nowMs + Milliseconds(2 * maxCallDuration).count();
    auto claimedAt = Clock::now();
    auto verdict = co_await m_context.claims.claim(request);

    if (std::holds_alternative<ClaimGranted>(verdict)) {
        m_context.metrics.countClaim("granted");
        co_await dispatchClaimed(std::move(resolvedRoute), std::move(request), claimedAt);
        co_return;
    }
    if (auto* replayed = std::get_if<ClaimReplayed>(&verdict)) {
        m_context.metrics.countClaim("replayed");
        m_context.decisions.record(m_scope.id, "claim", "replayed");
        m_result = "replayed";
        auto reply = makeReply(replayed->reply, m_scope.id, true);
        co_await m_exchange.send(std::move(reply));
        co_return;
    }
    auto error = std::visit(Overloaded {
                                [](const ClaimInProgress&) { return Error { .code = ErrorCode::InProgress, .step = Step::Claim, .detail = "the same request is in progress", .outcome = Outcome::Unknown }; },
                                [](const ClaimOutcomeUnknown&) { return Error { .code = ErrorCode::OutcomeUnknown, .step = Step::Claim, .detail = "the request may have run and is not repeated; an operator can settle its claim", .outcome = Outcome::Unknown }; },
                                [](const ClaimConflict&) { return Error { .code = ErrorCode::Conflict, .step = Step::Claim, .detail = "the Idempotency-Key is already used by another request", .outcome = Outcome::NotRun }; },
                                [](const ClaimUnavailable& unavailable) { auto claimError = unavailable.error; claimError.step = Step::Claim; claimError.outcome = Outcome::NotRun; return claimError; },
                                [](const auto&) { return Error {}; },
                            },
        verdict);
    m_context.metrics.countClaim(std::string(toString(error.code)));
    bool isRetryable = error.code == ErrorCode::InProgress || std::holds_alternative<ClaimUnavailable>(verdict);
    co_await sendError(error, isRetryable ? Clock::duration(Seconds(1)) : Clock::duration {});
}

/// Called once per claim, only by the request to which it was granted. A claim that was granted
/// later than maxCallDuration after its request is not used, because an operator may have settled
/// it in the meantime.
Awaitable<> PlainHandler::dispatchClaimed(ResolvedRoute resolvedRoute, ClaimRequest request, TimePoint claimedAt)
{
    ClaimSettlement settlement { .key = request.key, .nonce = request.nonce, .outcome = Outcome::NotRun };
    if (Clock::now() - claimedAt > maxCallDuration) {
        co_await m_context.claims.settle(settlement);
        Error claimTimeoutError { .code = ErrorCode::DeadlineExceeded, .step = Step::Claim, .detail = "the claim was granted too late", .outcome = Outcome::NotRun };
        co_await sendError(claimTimeoutError, Seconds(1));
        co_return;
    }
    auto response = co_await dispatch(resolvedRoute, 0);
    // Only a failure before the first byte was sent proves that the call did not run.
    for (std::size_t attempt = 1; !response && response.error().outcome == Outcome::NotRun && attempt < resolvedRoute.targets.size(); ++attempt)
        response = co_await dispatch(resolvedRoute, attempt);
    settlement.outcome = response ? Outcome::Ran : response.error().outcome;
    if (response)
        settlement.reply = toStoredReply(*response);
    bool settled = co_await m_context.claims.settle(settlement);
    m_context.decisions.record(m_scope.id, "settle", std::string(toString(settlement.outcome)), "", settled ? "durable" : "not written");
    if (response) {
        co_await sendResponse(*response);
        co_return;
    }
    auto error = response.error();
    if (error.outcome == Outcome::NotRun && !settled)
        error.detail += "; the claim could not be released, so a retry may fail with an unknown outcome";
    co_await sendError(error, error.outcome == Outcome::NotRun ? Clock::duration(Seconds(1)) : Clock::duration {});
}

}
