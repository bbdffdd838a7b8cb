#include "gateway/gateway.h"

#include "common/hash.h"
#include "gateway/generationrunner.h"
#include "gateway/operatorhandler.h"
#include "gateway/plainhandler.h"
#include "gateway/problem.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    const std::string servicesPrefix = "/services/";

    Error notFound(const std::string& path)
    {
        return Error { .code = ErrorCode::NotFound, .step = Step::Validate, .detail = "no such path: " + path };
    }

}

Gateway::Gateway(GatewayContext& context, StatusProvider statusProvider)
    : m_context(context)
    , m_statusProvider(std::move(statusProvider))
{
}

Awaitable<> Gateway::handle(HttpExchange& exchange)
{
    auto path = exchange.path();
    bool isPost = exchange.request().method() == http::verb::post;
    if (path == "/healthz" || path == "/readyz" || path == "/metrics") {
        co_await handleHealth(exchange);
    } else if (isPost && path == "/v1/completions") {
        co_await handleCompletion(exchange, false);
    } else if (isPost && path == "/v1/chat/completions") {
        co_await handleCompletion(exchange, true);
    } else if (path == "/v1/models") {
        co_await handleModels(exchange);
    } else if (path.starts_with(servicesPrefix)) {
        PlainHandler handler(m_context, exchange);
        co_await handler.run();
    } else if (path.starts_with("/v1/")) {
        OperatorHandler handler(m_context, exchange, m_statusProvider);
        co_await handler.run();
    } else {
        auto reply = problemReply(notFound(path), {});
        co_await exchange.send(std::move(reply));
    }
}

Awaitable<> Gateway::handleHealth(HttpExchange& exchange)
{
    Reply reply { .contentType = "text/plain", .body = "ok\n" };
    if (exchange.path() == "/metrics")
        reply.body = m_context.metrics.serialize();
    if (exchange.path() == "/readyz" && m_context.stopping) {
        reply.status = 503;
        reply.body = "stopping\n";
    } else if (exchange.path() == "/readyz" && !m_context.configuration.ready()) {
        reply.status = 503;
        reply.body = "no configuration received from the key-value service or from a peer\n";
    }
    co_await exchange.send(std::move(reply));
}

Awaitable<> Gateway::sendError(HttpExchange& exchange, const RequestScope& scope, Error error, Clock::duration retryAfter)
{
    m_context.decisions.record(scope.id, std::string(toString(error.step)), std::string(toString(error.code)), error.peer, error.detail);
    auto reply = problemReply(error, { .requestId = scope.id, .retryAfter = retryAfter });
    co_await exchange.send(std::move(reply));
}

std::optional<Error> Gateway::checkAdmission(const RequestScope& scope) const
{
    if (m_context.stopping)
        return Error { .code = ErrorCode::Stopping, .step = Step::Admit, .detail = "this instance is stopping", .outcome = Outcome::NotRun };
    auto organisation = m_context.configuration.current().organisations.find(scope.organisation);
    auto inFlight = m_context.inFlightByOrganisation.find(scope.organisation);
    bool limitReached = inFlight != m_context.inFlightByOrganisation.end() && organisation != m_context.configuration.current().organisations.end()
        && inFlight->second >= organisation->second.maxConcurrent;
    if (limitReached)
        return Error { .code = ErrorCode::RateLimited, .step = Step::Admit, .detail = "the organisation's limit of concurrent requests is reached", .outcome = Outcome::NotRun };
    return std::nullopt;
}

Awaitable<> Gateway::handleCompletion(HttpExchange& exchange, bool chat)
{
    auto scope = beginRequest(m_context, exchange);
    auto organisation = authenticate(m_context, exchange);
    if (!organisation) {
        co_await sendError(exchange, scope, organisation.error());
        co_return;
    }
    scope.organisation = *organisation;
    auto lastEventId = exchange.header("Last-Event-ID");
    if (!lastEventId.empty()) {
        co_await resumeCompletion(exchange, scope, lastEventId);
        co_return;
    }
    co_await runCompletion(exchange, scope, chat);
}

Awaitable<> Gateway::runCompletion(HttpExchange& exchange, RequestScope& scope, bool chat)
{
    auto admissionError = checkAdmission(scope);
    if (admissionError) {
        endRequest(m_context, scope, "completion", std::string(toString(admissionError->code)));
        co_await sendError(exchange, scope, *admissionError, Seconds(1));
        co_return;
    }
    auto request = parseCompletionRequest(exchange.request().body(), chat, m_context.configuration.current());
    if (!request) {
        endRequest(m_context, scope, "completion", std::string(toString(request.error().code)));
        co_await sendError(exchange, scope, request.error());
        co_return;
    }
    auto fingerprint = fingerprintOf(scope.organisation, request->service, exchange.request().body());
    if (m_context.quarantine.refuses(fingerprint, Clock::now())) {
        Error quarantineError { .code = ErrorCode::Quarantined, .step = Step::Admit, .detail = "this request is quarantined because it crashed the targets that ran it; fingerprint " + hexOf(fingerprint), .outcome = Outcome::NotRun };
        endRequest(m_context, scope, "completion", "quarantined");
        co_await sendError(exchange, scope, quarantineError);
        co_return;
    }
    InFlightGuard inFlight(m_context, scope.organisation);
    GenerationRunner runner(m_context, exchange, scope, std::move(*request), fingerprint);
    auto result = co_await runner.run();
    endRequest(m_context, scope, "completion", result);
}

/// Skips the admission check: a generation that is already running is relayed to its end even while
/// this instance stops.
Awaitable<> Gateway::resumeCompletion(HttpExchange& exchange, RequestScope& scope, const std::string& lastEventId)
{
    auto eventId = parseEventId(lastEventId);
    auto handle = eventId ? m_context.sealer.open(eventId->sealedHandle) : std::nullopt;
    if (!handle) {
        Error invalidEventId { .code = ErrorCode::BadRequest, .step = Step::Resume, .detail = "Last-Event-ID was not issued by this service", .outcome = Outcome::NotRun };
        co_await sendError(exchange, scope, invalidEventId);
        co_return;
    }
    if (handle->organisation != scope.organisation) {
        Error wrongOrganisation { .code = ErrorCode::Forbidden, .step = Step::Resume, .detail = "the stream belongs to another organisation", .outcome = Outcome::NotRun };
        co_await sendError(exchange, scope, wrongOrganisation);
        co_return;
    }
    scope.id = handle->requestId;
    InFlightGuard inFlight(m_context, scope.organisation);
    CompletionRequest request { .chat = handle->chat, .stream = true, .service = handle->service, .requestedModel = handle->model, .promptTokens = handle->promptTokens };
    GenerationRunner runner(m_context, exchange, scope, std::move(request), 0);
    auto result = co_await runner.resume(*handle, eventId->offset + 1);
    endRequest(m_context, scope, "resume", result);
}

Awaitable<> Gateway::handleModels(HttpExchange& exchange)
{
    auto scope = beginRequest(m_context, exchange);
    auto organisation = authenticate(m_context, exchange);
    if (!organisation) {
        co_await sendError(exchange, scope, organisation.error());
        co_return;
    }
    nlohmann::json models = nlohmann::json::array();
    for (const auto& [name, service] : m_context.configuration.current().services) {
        for (const auto& model : service.models)
            models.push_back({ { "id", fmt::format("{}/{}", name, model) }, { "object", "model" }, { "owned_by", "guavaspan" } });
    }
    Reply reply { .body = nlohmann::json { { "object", "list" }, { "data", models } }.dump() };
    co_await exchange.send(std::move(reply));
}

}
