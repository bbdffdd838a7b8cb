#include "gateway/generationrunner.h"

#include "common/log.h"
#include "gateway/problem.h"
#include "net/eventloop.h"
#include "scheduling/prefixblocks.h"

namespace guavaspan {

namespace {

    constexpr auto progressReportInterval = Seconds(1);
    constexpr int maxTargetCrashes = 2;
    constexpr auto maxStallTimeout = Seconds(15);
    constexpr auto resumeDelay = Milliseconds(20);

    StreamSessionOptions sessionOptions(const GatewayContext& context, const CompletionRequest& request)
    {
        const auto& settings = context.settings.streams;
        return { .bufferedAnswer = !request.stream, .maxRestarts = settings.maxRestarts, .maxResumes = settings.maxResumes };
    }

    StallDetectorOptions stallOptions(const GatewayContext& context)
    {
        const auto& settings = context.settings.streams;
        return { .minTimeout = settings.minSilenceTimeout, .firstTokenTimeout = settings.firstTokenSilenceTimeout, .maxTimeout = std::max<Clock::duration>(maxStallTimeout, settings.firstTokenSilenceTimeout) };
    }

    std::int64_t unixSeconds()
    {
        return std::chrono::duration_cast<Seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    std::string_view nameOf(DropReason reason)
    {
        switch (reason) {
        case DropReason::Duplicate:
            return "duplicate";
        case DropReason::OtherGeneration:
            return "other_generation";
        case DropReason::AfterEnd:
            return "after_end";
        case DropReason::Informational:
            return "informational";
        }
        return "duplicate";
    }

}

GenerationRunner::GenerationRunner(GatewayContext& context, HttpExchange& exchange, const RequestScope& scope, CompletionRequest request, Fingerprint fingerprint)
    : m_context(context)
    , m_exchange(exchange)
    , m_scope(scope)
    , m_request(std::move(request))
    , m_fingerprint(fingerprint)
    , m_session(sessionOptions(context, m_request))
    , m_stallDetector(stallOptions(context))
    , m_format(m_request.chat, scope.id, m_request.requestedModel, unixSeconds())
{
}

Awaitable<Result<Grant>> GenerationRunner::acquirePermit()
{
    const auto& configuration = m_context.configuration.current();
    auto organisation = configuration.organisations.find(m_scope.organisation);
    auto service = configuration.services.find(m_request.service);
    m_permit = m_context.permits.nextId();
    PermitRequest permitRequest;
    permitRequest.id = m_permit;
    permitRequest.organisation = m_scope.organisation;
    permitRequest.service = m_request.service;
    permitRequest.weight = organisation == configuration.organisations.end() ? 1 : organisation->second.weight;
    permitRequest.serviceClass = service == configuration.services.end() ? ServiceClass::Batch : service->second.serviceClass;
    permitRequest.promptTokens = m_request.promptTokens;
    permitRequest.maxTokens = m_request.maxTokens;
    permitRequest.prefixBlocks = prefixBlockHashes(m_request.prompt);
    permitRequest.maxWait = std::min<Clock::duration>(m_context.settings.scheduling.maxWait, m_scope.deadline - Clock::now());
    permitRequest.failureDomain = m_context.settings.instance.failureDomain;
    permitRequest.excludedEngines = m_failedEngines;
    auto onPriorityRaised = [this](int priority) { raisePriority(priority); };
    auto cancelled = [this] { return m_exchange.callerDisconnected(); };
    auto grant = co_await m_context.permits.acquire(m_request.model, std::move(permitRequest), std::move(onPriorityRaised), std::move(cancelled));
    m_hasPermit = grant.has_value();
    co_return grant;
}

Awaitable<std::string> GenerationRunner::run()
{
    m_exchange.onCallerDisconnect([this] {
        if (m_openStream)
            m_openStream->cancelWait();
    });
    while (true) {
        auto grant = co_await acquirePermit();
        if (!grant) {
            m_context.decisions.record(m_scope.id, "admit", std::string(toString(grant.error().code)), grant.error().peer, grant.error().detail);
            FailStream failure { .error = grant.error() };
            co_await sendFailure(std::move(failure));
            co_return m_result;
        }
        m_context.decisions.record(m_scope.id, "route", std::string(toString(grant->reason)), grant->engine, "overflow risk " + std::to_string(grant->overflowRisk));
        m_engineFailed = false;
        auto engineName = grant->engine;
        auto attemptResult = co_await runAttempt(*grant);
        m_openStream = nullptr;
        m_hasPermit = false;
        m_context.permits.finish(m_permit, m_session.nextOffset(), generationOutcomeOf(attemptResult));
        if (attemptResult != AttemptResult::Restart)
            co_return m_result;
        if (m_targetCrashes >= maxTargetCrashes) {
            Error crashError { .code = ErrorCode::Quarantined, .step = Step::Relay, .peer = engineName, .detail = "two targets crashed while they ran this request; it is not retried on a third", .outcome = Outcome::Unknown };
            FailStream failure { .error = crashError };
            co_await sendFailure(std::move(failure));
            co_return m_result;
        }
        m_context.metrics.countRestart();
        m_context.decisions.record(m_scope.id, "restart", "nothing_delivered", engineName);
        m_failedEngines.push_back(engineName);
        m_bufferedText.clear();
        m_sealedHandle.clear();
    }
}

GenerationOutcome GenerationRunner::generationOutcomeOf(AttemptResult attemptResult) const
{
    if (attemptResult == AttemptResult::Completed)
        return GenerationOutcome::Completed;
    if (attemptResult == AttemptResult::CallerGone)
        return GenerationOutcome::Cancelled;
    return m_engineFailed ? GenerationOutcome::EngineFailed : GenerationOutcome::Cancelled;
}

Awaitable<GenerationRunner::AttemptResult> GenerationRunner::runAttempt(Grant grant)
{
    m_engine = m_context.engines.engine(grant.engine);
    m_grantedPriority = grant.priority;
    std::unique_ptr<IEngineStream> noStream;
    if (!m_engine) {
        Error targetError { .code = ErrorCode::Unavailable, .step = Step::Connect, .peer = grant.engine, .detail = "target is not configured" };
        auto action = m_session.onStartFailed(targetError);
        co_return co_await performAction(std::move(action), noStream);
    }
    GenerationRequest engineRequest { .body = makeEngineRequestBody(m_request, grant.priority), .chat = m_request.chat, .traceparent = m_scope.trace.toTraceparent() };
    auto stream = co_await m_engine->start(std::move(engineRequest));
    if (!stream) {
        m_engineFailed = stream.error().code != ErrorCode::BadRequest;
        recordCrashOnStart(grant.engine, stream.error());
        m_context.decisions.record(m_scope.id, "start_failed", std::string(toString(stream.error().code)), grant.engine, stream.error().detail);
        auto action = m_session.onStartFailed(stream.error());
        co_return co_await performAction(std::move(action), noStream);
    }
    m_session.onOpened((*stream)->identity());
    ResumeHandle handle { .identity = (*stream)->identity(), .organisation = m_scope.organisation, .service = m_request.service, .model = m_request.requestedModel, .requestId = m_scope.id, .promptTokens = m_request.promptTokens, .chat = m_request.chat };
    m_sealedHandle = m_context.sealer.seal(handle, m_scope.id);
    co_return co_await relayEvents(std::move(*stream));
}

Awaitable<GenerationRunner::AttemptResult> GenerationRunner::relayEvents(std::unique_ptr<IEngineStream> stream)
{
    while (true) {
        m_openStream = stream.get();
        auto waitTimeout = std::min(m_stallDetector.silenceTimeout(), m_scope.deadline - Clock::now());
        auto event = co_await stream->next(std::max<Clock::duration>(waitTimeout, Milliseconds(1)));
        if (m_exchange.callerDisconnected()) {
            cancelGeneration();
            m_result = "caller_gone";
            co_return AttemptResult::CallerGone;
        }
        if (Clock::now() >= m_scope.deadline) {
            cancelGeneration();
            Error deadlineError { .code = ErrorCode::DeadlineExceeded, .step = Step::Relay, .peer = stream->identity().target, .detail = "the request's deadline has passed", .outcome = Outcome::Ran };
            FailStream failure { .error = deadlineError, .delivered = m_session.deliveredToCaller() };
            co_await sendFailure(std::move(failure));
            co_return AttemptResult::Failed;
        }
        if (!event)
            m_context.decisions.record(m_scope.id, "link_failed", std::string(toString(event.error().code)), event.error().peer, event.error().detail);
        m_linkBroken = !event && event.error().code == ErrorCode::LinkBroken;
        auto action = event ? handleEvent(*event) : m_session.onLinkFailure(event.error());
        std::vector<DeliverToken> tokens;
        std::optional<StreamAction> remainingAction = collectTokens(std::move(action), *stream, tokens);
        if (!tokens.empty()) {
            auto delivered = co_await deliverTokens(std::move(tokens));
            if (!delivered) {
                cancelGeneration();
                m_result = "caller_gone";
                co_return AttemptResult::CallerGone;
            }
        }
        if (!remainingAction)
            continue;
        if (auto* drop = std::get_if<DropEvent>(&*remainingAction)) {
            m_context.metrics.countDroppedEvent(std::string(nameOf(drop->reason)));
            continue;
        }
        bool isResume = std::holds_alternative<ResumeStream>(*remainingAction);
        auto attemptResult = co_await performAction(std::move(*remainingAction), stream);
        if (!isResume || !stream)
            co_return attemptResult;
    }
}

StreamAction GenerationRunner::handleEvent(const EngineEvent& event)
{
    if (std::holds_alternative<GenerationPreempted>(event))
        reportProgress(true);
    return m_session.onEvent(event);
}

/// Collects all tokens that have already arrived, so that one write delivers them. Returns the first
/// action that is not a token, if there is one.
std::optional<StreamAction> GenerationRunner::collectTokens(StreamAction action, IEngineStream& stream, std::vector<DeliverToken>& tokens)
{
    while (auto* token = std::get_if<DeliverToken>(&action)) {
        recordToken();
        tokens.push_back(std::move(*token));
        auto next = stream.takeBuffered();
        if (!next)
            return std::nullopt;
        action = handleEvent(*next);
    }
    return action;
}

/// Performs an action that ends the attempt or reopens the stream.
Awaitable<GenerationRunner::AttemptResult> GenerationRunner::performAction(StreamAction action, std::unique_ptr<IEngineStream>& stream)
{
    if (auto* resume = std::get_if<ResumeStream>(&action))
        co_return co_await reopenStream(*resume, stream);
    if (std::holds_alternative<RestartGeneration>(action)) {
        m_engineFailed = true;
        cancelGeneration();
        co_return AttemptResult::Restart;
    }
    if (auto* completion = std::get_if<CompleteStream>(&action)) {
        co_await sendCompletion(*completion);
        co_return AttemptResult::Completed;
    }
    if (auto* failure = std::get_if<FailStream>(&action)) {
        m_engineFailed = true;
        cancelGeneration();
        co_await sendFailure(std::move(*failure));
    }
    co_return AttemptResult::Failed;
}

/// On success `stream` holds the new connection; otherwise it is empty and the attempt has ended.
Awaitable<GenerationRunner::AttemptResult> GenerationRunner::reopenStream(ResumeStream resume, std::unique_ptr<IEngineStream>& stream)
{
    while (true) {
        auto identity = *m_session.identity();
        co_await sleepFor(resumeDelay);
        auto reopenedStream = co_await m_engine->resume(identity, resume.offset);
        if (reopenedStream) {
            m_context.metrics.countResume();
            m_context.decisions.record(m_scope.id, "resume", "same_generation", identity.target, "from " + std::to_string(resume.offset));
            m_stallDetector.onReopened(Clock::now());
            stream = std::move(*reopenedStream);
            co_return AttemptResult::Completed;
        }
        m_context.decisions.record(m_scope.id, "resume_failed", std::string(toString(reopenedStream.error().code)), identity.target, reopenedStream.error().detail);
        stream.reset();
        m_openStream = nullptr;
        recordCrashAfterResume(identity, reopenedStream.error());
        auto action = m_session.onResumeRefused(reopenedStream.error());
        auto* nextResume = std::get_if<ResumeStream>(&action);
        if (!nextResume)
            co_return co_await performAction(std::move(action), stream);
        resume = *nextResume;
    }
}

void GenerationRunner::recordToken()
{
    auto now = Clock::now();
    m_stallDetector.onToken(now);
    if (m_lastTokenAt == TimePoint {})
        m_context.metrics.observeFirstToken(secondsBetween(m_scope.startTime, now));
    else
        m_context.metrics.observeTokenGap(secondsBetween(m_lastTokenAt, now));
    m_lastTokenAt = now;
    if (m_preempted || m_progressReportedAt + progressReportInterval < now)
        reportProgress(false);
}

void GenerationRunner::reportProgress(bool preempted)
{
    m_progressReportedAt = Clock::now();
    m_preempted = preempted;
    if (preempted)
        m_context.metrics.countPreemption();
    if (m_hasPermit)
        m_context.permits.progress(m_permit, m_session.nextOffset(), preempted);
}

void GenerationRunner::raisePriority(int priority)
{
    auto identity = m_session.identity();
    if (!m_engine || !identity)
        return;
    asio::co_spawn(
        m_context.io, [engine = m_engine, identity = *identity, priority]() -> Awaitable<> { co_await engine->setPriority(identity, priority); }, reportFailedHandler);
}

/// Counts a crash if the link broke and the target then cannot be reached or no longer has the
/// generation.
void GenerationRunner::recordCrashAfterResume(const GenerationIdentity& identity, const Error& refusal)
{
    bool isTargetLost = refusal.code == ErrorCode::ConnectFailed || refusal.code == ErrorCode::NotFound;
    if (!m_linkBroken || !isTargetLost || m_fingerprint == 0)
        return;
    ++m_targetCrashes;
    m_linkBroken = false;
    m_context.decisions.record(m_scope.id, "target_died", std::string(toString(refusal.code)), identity.target);
    m_context.quarantine.onCrash({ .fingerprint = m_fingerprint, .target = identity.target, .incarnation = identity.incarnation }, Clock::now());
}

/// Counts a crash if the target closed the connection before it replied to the start. Its incarnation
/// is unknown then, so an identifier of this attempt is reported instead.
void GenerationRunner::recordCrashOnStart(const std::string& target, const Error& error)
{
    if (error.code != ErrorCode::LinkBroken || error.step != Step::ReadReply || m_fingerprint == 0)
        return;
    ++m_targetCrashes;
    m_context.quarantine.onCrash({ .fingerprint = m_fingerprint, .target = target, .incarnation = "at " + m_scope.id + std::to_string(m_session.restarts()) }, Clock::now());
}

void GenerationRunner::cancelGeneration()
{
    auto identity = m_session.identity();
    if (!m_engine || !identity)
        return;
    asio::co_spawn(
        m_context.io, [engine = m_engine, identity = *identity]() -> Awaitable<> { co_await engine->cancel(identity); }, reportFailedHandler);
}

Awaitable<Result<void>> GenerationRunner::beginResponse()
{
    if (m_responseBegun)
        co_return Result<void> {};
    m_responseBegun = true;
    HttpHeaders headers { { "X-Request-Id", m_scope.id }, { "traceparent", m_scope.trace.toTraceparent() } };
    co_return co_await m_exchange.beginEvents(std::move(headers));
}

Awaitable<Result<void>> GenerationRunner::deliverTokens(std::vector<DeliverToken> tokens)
{
    if (!m_request.stream) {
        for (auto& token : tokens)
            m_bufferedText += token.text;
        co_return Result<void> {};
    }
    auto begun = co_await beginResponse();
    if (!begun)
        co_return begun.error();
    std::string text;
    for (const auto& token : tokens)
        text += m_format.tokenEvent(eventIdOf(m_sealedHandle, token.offset), token.text);
    auto written = co_await m_exchange.writeEvents(std::move(text));
    if (!written)
        co_return written.error();
    bool hasFirstToken = tokens.front().offset == 0;
    m_context.usage.charge(m_scope.organisation, { .promptTokens = hasFirstToken ? m_request.promptTokens : 0, .outputTokens = static_cast<std::int64_t>(tokens.size()), .requests = hasFirstToken ? 1 : 0 });
    m_context.metrics.countDeliveredTokens(m_scope.organisation, static_cast<int>(tokens.size()));
    co_return Result<void> {};
}

Awaitable<> GenerationRunner::sendCompletion(CompleteStream completion)
{
    m_result = "completed";
    if (m_targetCrashes > 0)
        m_context.quarantine.onCompleted(m_fingerprint, Clock::now());
    if (!m_request.stream) {
        Reply reply { .body = m_format.makeResponse(m_bufferedText, completion.finishReason, m_request.promptTokens, completion.tokens) };
        reply.headers = { { "X-Request-Id", m_scope.id }, { "traceparent", m_scope.trace.toTraceparent() } };
        co_await m_exchange.send(std::move(reply));
        m_context.usage.charge(m_scope.organisation, { .promptTokens = m_request.promptTokens, .outputTokens = completion.tokens, .requests = 1 });
        m_context.metrics.countDeliveredTokens(m_scope.organisation, completion.tokens);
        co_return;
    }
    auto begun = co_await beginResponse();
    if (!begun)
        co_return;
    std::string text = m_format.finishEvent(eventIdOf(m_sealedHandle, completion.tokens), completion.finishReason);
    if (m_request.includeUsage)
        text += m_format.usageEvent(m_request.promptTokens, completion.tokens);
    text += CompletionFormat::doneEvent();
    auto written = co_await m_exchange.writeEvents(std::move(text));
    if (written)
        co_await m_exchange.endEvents();
}

Awaitable<> GenerationRunner::sendFailure(FailStream failure)
{
    m_result = std::string(toString(failure.error.code));
    ProblemOptions options { .requestId = m_scope.id, .deliveredTokens = failure.delivered };
    bool isRetryable = failure.error.code == ErrorCode::Overloaded || failure.error.code == ErrorCode::Unavailable || failure.error.code == ErrorCode::Stopping;
    if (isRetryable)
        options.retryAfter = Seconds(1);
    logEvent(LogLevel::Warning, "request_failed", { { "request_id", m_scope.id }, { "code", m_result }, { "step", std::string(toString(failure.error.step)) }, { "peer", failure.error.peer }, { "outcome", std::string(toString(failure.error.outcome)) }, { "delivered_tokens", std::int64_t(failure.delivered) }, { "detail", failure.error.detail } });
    if (!m_responseBegun) {
        auto reply = problemReply(failure.error, options);
        co_await m_exchange.send(std::move(reply));
        co_return;
    }
    auto text = CompletionFormat::errorEvent(problemJson(failure.error, options));
    auto written = co_await m_exchange.writeEvents(std::move(text));
    if (written)
        co_await m_exchange.endEvents();
}

Awaitable<std::string> GenerationRunner::resume(ResumeHandle handle, int firstOffset)
{
    auto options = sessionOptions(m_context, m_request);
    options.firstOffset = firstOffset;
    options.resumedGeneration = handle.identity;
    m_session = StreamSession(std::move(options));
    m_engine = m_context.engines.engine(handle.identity.target);
    m_exchange.onCallerDisconnect([this] {
        if (m_openStream)
            m_openStream->cancelWait();
    });
    if (!m_engine) {
        Error targetError { .code = ErrorCode::NotFound, .step = Step::Resume, .peer = handle.identity.target, .detail = "target is no longer configured", .outcome = Outcome::Ran };
        FailStream failure { .error = targetError };
        co_await sendFailure(std::move(failure));
        co_return m_result;
    }
    m_sealedHandle = m_context.sealer.seal(handle, m_scope.id);
    std::unique_ptr<IEngineStream> stream;
    ResumeStream resumeAction { .offset = firstOffset };
    co_await reopenStream(resumeAction, stream);
    if (stream)
        co_await relayEvents(std::move(stream));
    co_return m_result;
}

}
