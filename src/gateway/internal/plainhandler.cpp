#include "gateway/plainhandler.h"

#include "common/overloaded.h"

#include "common/hash.h"
#include "gateway/problem.h"

#include <algorithm>

namespace guavaspan {

namespace {

    const std::string servicesPrefix = "/services/";
    constexpr auto longestCall = Seconds(30);
    constexpr std::size_t longestKey = 256;
    constexpr std::size_t maxIdempotentAttempts = 3;

    const Route* findRoute(const Service& service, const std::string& path, const std::string& method)
    {
        const Route* best = nullptr;
        for (const auto& route : service.routes) {
            if (!path.starts_with(route.pathPrefix))
                continue;
            const auto& methods = route.methods;
            if (!methods.empty() && std::find(methods.begin(), methods.end(), method) == methods.end())
                continue;
            if (!best || route.pathPrefix.size() > best->pathPrefix.size())
                best = &route;
        }
        return best;
    }

    Reply storedReply(const StoredReply& stored, const std::string& requestId, bool replayed)
    {
        Reply reply { .status = stored.status, .contentType = stored.contentType, .body = stored.body };
        reply.headers = { { "X-Request-Id", requestId } };
        if (replayed)
            reply.headers["Idempotency-Replayed"] = "true";
        return reply;
    }

    StoredReply storable(const HttpResponse& response)
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

Awaitable<> PlainHandler::refuse(Error error, Clock::duration retryAfter)
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
        co_await refuse(organisation.error());
        co_return;
    }
    m_scope.organisation = *organisation;
    InFlight inFlight(m_context, m_scope.organisation);
    auto destination = resolve();
    if (m_context.stopping) {
        Error stopping { .code = ErrorCode::Stopping, .step = Step::Admit, .detail = "this instance is stopping", .outcome = Outcome::NotRun };
        co_await refuse(stopping, Seconds(1));
    } else if (!destination) {
        co_await refuse(destination.error());
    } else if (destination->idempotent) {
        co_await runIdempotent(*destination);
    } else {
        co_await runClaimed(*destination);
    }
    endRequest(m_context, m_scope, "plain", m_result);
}

Result<PlainHandler::Destination> PlainHandler::resolve() const
{
    auto rest = m_exchange.path().substr(servicesPrefix.size());
    auto slash = rest.find('/');
    Destination destination { .service = rest.substr(0, slash), .path = slash == std::string::npos ? "/" : rest.substr(slash) };
    const auto& configuration = m_context.configuration.current();
    auto service = configuration.services.find(destination.service);
    if (service == configuration.services.end() || service->second.kind != ServiceType::Plain)
        return Error { .code = ErrorCode::NotFound, .step = Step::Validate, .detail = "no plain service " + destination.service };
    const auto* route = findRoute(service->second, destination.path, std::string(m_exchange.request().method_string()));
    if (!route)
        return Error { .code = ErrorCode::NotFound, .step = Step::Validate, .detail = "no route for this path and method" };
    destination.idempotent = route->idempotent;
    for (const auto& target : service->second.targets) {
        if (!m_context.engines.isDraining(target))
            destination.targets.push_back(target);
    }
    if (destination.targets.empty())
        return Error { .code = ErrorCode::Unavailable, .step = Step::Admit, .detail = "every target of the service is leaving" };
    auto turn = static_cast<std::ptrdiff_t>(m_context.random() % destination.targets.size());
    std::rotate(destination.targets.begin(), destination.targets.begin() + turn, destination.targets.end());
    return destination;
}

HttpCall PlainHandler::callTo(const Destination& destination, std::size_t attempt) const
{
    const auto& target = destination.targets[attempt % destination.targets.size()];
    const auto& request = m_exchange.request();
    auto fullTarget = std::string(request.target());
    auto query = fullTarget.find('?');
    HttpCall call { .endpoint = m_context.configuration.current().targets.at(target).endpoint, .method = std::string(request.method_string()), .target = destination.path + (query == std::string::npos ? "" : fullTarget.substr(query)), .body = request.body() };
    call.timeout = std::min<Clock::duration>(longestCall, m_scope.deadline - Clock::now());
    call.headers["traceparent"] = m_scope.trace.header();
    call.headers["X-Request-Id"] = m_scope.id;
    for (const char* name : { "Content-Type", "Accept", "Idempotency-Key" }) {
        auto value = m_exchange.header(name);
        if (!value.empty())
            call.headers[name] = value;
    }
    return call;
}

Awaitable<Result<HttpResponse>> PlainHandler::dispatch(const Destination& destination, std::size_t attempt)
{
    auto call = callTo(destination, attempt);
    auto target = destination.targets[attempt % destination.targets.size()];
    auto response = co_await callHttp(std::move(call));
    m_context.decisions.record(m_scope.id, "dispatch", response ? "answered" : std::string(toString(response.error().code)), target);
    co_return response;
}

Awaitable<> PlainHandler::answer(const HttpResponse& response)
{
    auto reply = storedReply(storable(response), m_scope.id, false);
    co_await m_exchange.send(std::move(reply));
}

Awaitable<> PlainHandler::runIdempotent(Destination destination)
{
    Error last;
    for (std::size_t attempt = 0; attempt < maxIdempotentAttempts; ++attempt) {
        auto response = co_await dispatch(destination, attempt);
        if (response) {
            co_await answer(*response);
            co_return;
        }
        last = response.error();
        if (Clock::now() >= m_scope.deadline)
            break;
    }
    co_await refuse(last, Seconds(1));
}

Awaitable<> PlainHandler::runClaimed(Destination destination)
{
    auto key = m_exchange.header("Idempotency-Key");
    if (key.empty() || key.size() > longestKey) {
        Error missing { .code = ErrorCode::BadRequest, .step = Step::Claim, .detail = "this route is not idempotent: an Idempotency-Key of 1 to 256 characters is required", .outcome = Outcome::NotRun };
        co_await refuse(missing);
        co_return;
    }
    auto now = unixMilliseconds();
    ClaimRequest request;
    request.key = { .organisation = m_scope.organisation, .service = destination.service, .key = key };
    request.bodyDigest = sha256Hex(destination.path + "\n" + m_exchange.request().body()).substr(0, 32);
    request.nonce = randomId(m_context.random) + randomId(m_context.random);
    request.nowMs = now;
    request.deadlineMs = now + Milliseconds(2 * longestCall).count();
    auto claimedAt = Clock::now();
    auto verdict = co_await m_context.claims.claim(request);

    if (std::holds_alternative<ClaimGranted>(verdict)) {
        m_context.metrics.claim("granted");
        co_await dispatchClaimed(std::move(destination), std::move(request), claimedAt);
        co_return;
    }
    if (auto* replayed = std::get_if<ClaimReplayed>(&verdict)) {
        m_context.metrics.claim("replayed");
        m_context.decisions.record(m_scope.id, "claim", "replayed");
        m_result = "replayed";
        auto reply = storedReply(replayed->reply, m_scope.id, true);
        co_await m_exchange.send(std::move(reply));
        co_return;
    }
    auto error = std::visit(Overloaded {
                                [](const ClaimInProgress&) { return Error { .code = ErrorCode::InProgress, .step = Step::Claim, .detail = "the same request is in progress", .outcome = Outcome::Unknown }; },
                                [](const ClaimOutcomeUnknown&) { return Error { .code = ErrorCode::OutcomeUnknown, .step = Step::Claim, .detail = "it may have run and will not be repeated; an operator can settle it", .outcome = Outcome::Unknown }; },
                                [](const ClaimConflict&) { return Error { .code = ErrorCode::Conflict, .step = Step::Claim, .detail = "the Idempotency-Key was used for another request", .outcome = Outcome::NotRun }; },
                                [](const ClaimUnavailable& each) { auto copy = each.error; copy.step = Step::Claim; copy.outcome = Outcome::NotRun; return copy; },
                                [](const auto&) { return Error {}; },
                            },
        verdict);
    m_context.metrics.claim(std::string(toString(error.code)));
    bool mayComeBack = error.code == ErrorCode::InProgress || std::holds_alternative<ClaimUnavailable>(verdict);
    co_await refuse(error, mayComeBack ? Clock::duration(Seconds(1)) : Clock::duration {});
}

/// Only the claim's holder is here, and only once. A claim held for longer than
/// a call may last is not used: an operator may have settled it meanwhile.
Awaitable<> PlainHandler::dispatchClaimed(Destination destination, ClaimRequest request, TimePoint claimedAt)
{
    ClaimSettlement settlement { .key = request.key, .nonce = request.nonce, .outcome = Outcome::NotRun };
    if (Clock::now() - claimedAt > longestCall) {
        co_await m_context.claims.settle(settlement);
        Error late { .code = ErrorCode::DeadlineExceeded, .step = Step::Claim, .detail = "the claim took too long", .outcome = Outcome::NotRun };
        co_await refuse(late, Seconds(1));
        co_return;
    }
    auto response = co_await dispatch(destination, 0);
    // Only a failure before the first byte proves that nothing ran.
    for (std::size_t attempt = 1; !response && response.error().outcome == Outcome::NotRun && attempt < destination.targets.size(); ++attempt)
        response = co_await dispatch(destination, attempt);
    settlement.outcome = response ? Outcome::Ran : response.error().outcome;
    if (response)
        settlement.reply = storable(*response);
    bool settled = co_await m_context.claims.settle(settlement);
    m_context.decisions.record(m_scope.id, "settle", std::string(toString(settlement.outcome)), "", settled ? "durable" : "not written");
    if (response) {
        co_await answer(*response);
        co_return;
    }
    auto error = response.error();
    if (error.outcome == Outcome::NotRun && !settled)
        error.detail += "; the claim could not be released, so a re-send may be answered as unknown";
    co_await refuse(error, error.outcome == Outcome::NotRun ? Clock::duration(Seconds(1)) : Clock::duration {});
}

}
