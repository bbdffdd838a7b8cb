#include "gateway/generationrunner.h"

#include "common/log.h"
#include "gateway/problem.h"
#include "scheduling/prefixblocks.h"

namespace guavaspan {

namespace {

    constexpr auto progressInterval = Seconds(1);
    constexpr int deathsBeforeRefusal = 2;
    constexpr auto longestSilence = Seconds(15);
    constexpr auto pauseBeforeResume = Milliseconds(20);

    StreamSessionOptions sessionOptions(const GatewayContext& context, const CompletionRequest& request)
    {
        const auto& settings = context.settings.streams;
        return { .bufferedAnswer = !request.stream, .maxRestarts = settings.maxRestarts, .maxResumes = settings.maxResumes };
    }

    StallDetectorOptions stallOptions(const GatewayContext& context)
    {
        const auto& settings = context.settings.streams;
        return { .minTimeout = settings.minSilenceTimeout, .firstTokenTimeout = settings.firstTokenSilenceTimeout, .maxTimeout = std::max<Clock::duration>(longestSilence, settings.firstTokenSilenceTimeout) };
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
    , m_stalls(stallOptions(context))
    , m_format(m_request.chat, scope.id, m_request.modelName, unixSeconds())
{
}

Awaitable<Result<Grant>> GenerationRunner::acquire()
{
    const auto& configuration = m_context.configuration.current();
    auto organisation = configuration.organisations.find(m_scope.organisation);
    auto service = configuration.services.find(m_request.service);
    m_permit = m_context.permits.nextId();
    PermitRequest wish;
    wish.id = m_permit;
    wish.organisation = m_scope.organisation;
    wish.service = m_request.service;
    wish.weight = organisation == configuration.organisations.end() ? 1 : organisation->second.weight;
    wish.serviceClass = service == configuration.services.end() ? ServiceClass::Batch : service->second.serviceClass;
    wish.promptTokens = m_request.promptTokens;
    wish.maxTokens = m_request.maxTokens;
    wish.prefixBlocks = prefixBlockHashes(m_request.prompt);
    wish.maxWait = std::min<Clock::duration>(m_context.settings.scheduling.maxWait, m_scope.deadline - Clock::now());
    wish.failureDomain = m_context.settings.instance.failureDomain;
    wish.excludedEngines = m_failedEngines;
    auto protect = [this](int priority) { raisePriority(priority); };
    auto cancelled = [this] { return m_exchange.callerDisconnected(); };
    auto grant = co_await m_context.permits.acquire(m_request.model, std::move(wish), std::move(protect), std::move(cancelled));
    m_hasPermit = grant.has_value();
    co_return grant;
}

Awaitable<std::string> GenerationRunner::run()
{
    m_exchange.onCallerDisconnect([this] {
        if (m_open)
            m_open->cancelWait();
    });
    while (true) {
        auto grant = co_await acquire();
        if (!grant) {
            m_context.decisions.record(m_scope.id, "admit", std::string(toString(grant.error().code)), grant.error().peer, grant.error().detail);
            FailStream refused { .error = grant.error() };
            co_await fail(std::move(refused));
            co_return m_result;
        }
        m_context.decisions.record(m_scope.id, "route", std::string(toString(grant->reason)), grant->engine, "overflow risk " + std::to_string(grant->overflowRisk));
        m_engineFailed = false;
        auto engineName = grant->engine;
        auto attempt = co_await runOn(*grant);
        m_open = nullptr;
        m_hasPermit = false;
        m_context.permits.finish(m_permit, m_session.nextOffset(), finishKindOf(attempt));
        if (attempt != Attempt::Restart)
            co_return m_result;
        if (m_deaths >= deathsBeforeRefusal) {
            Error suspect { .code = ErrorCode::Quarantined, .step = Step::Relay, .peer = engineName, .detail = "two targets ended while they ran this request; it is not tried on a third", .outcome = Outcome::Unknown };
            FailStream refused { .error = suspect };
            co_await fail(std::move(refused));
            co_return m_result;
        }
        m_context.metrics.countRestart();
        m_context.decisions.record(m_scope.id, "restart", "nothing_delivered", engineName);
        m_failedEngines.push_back(engineName);
        m_text.clear();
        m_sealed.clear();
    }
}

GenerationOutcome GenerationRunner::finishKindOf(Attempt attempt) const
{
    if (attempt == Attempt::Completed)
        return GenerationOutcome::Completed;
    if (attempt == Attempt::CallerGone)
        return GenerationOutcome::Cancelled;
    return m_engineFailed ? GenerationOutcome::EngineFailed : GenerationOutcome::Cancelled;
}

Awaitable<GenerationRunner::Attempt> GenerationRunner::runOn(Grant grant)
{
    m_engine = m_context.engines.engine(grant.engine);
    m_grantedPriority = grant.priority;
    std::unique_ptr<IEngineStream> none;
    if (!m_engine) {
        Error gone { .code = ErrorCode::Unavailable, .step = Step::Connect, .peer = grant.engine, .detail = "target is not configured" };
        auto action = m_session.onStartFailed(gone);
        co_return co_await act(std::move(action), none);
    }
    GenerationRequest order { .body = engineBody(m_request, grant.priority), .chat = m_request.chat, .traceparent = m_scope.trace.toTraceparent() };
    auto stream = co_await m_engine->start(std::move(order));
    if (!stream) {
        m_engineFailed = stream.error().code != ErrorCode::BadRequest;
        noteStartDeath(grant.engine, stream.error());
        m_context.decisions.record(m_scope.id, "start_failed", std::string(toString(stream.error().code)), grant.engine, stream.error().detail);
        auto action = m_session.onStartFailed(stream.error());
        co_return co_await act(std::move(action), none);
    }
    m_session.onOpened((*stream)->identity());
    ResumeHandle handle { .identity = (*stream)->identity(), .organisation = m_scope.organisation, .service = m_request.service, .model = m_request.modelName, .requestId = m_scope.id, .promptTokens = m_request.promptTokens, .chat = m_request.chat };
    m_sealed = m_context.sealer.seal(handle, m_scope.id);
    co_return co_await follow(std::move(*stream));
}

Awaitable<GenerationRunner::Attempt> GenerationRunner::follow(std::unique_ptr<IEngineStream> stream)
{
    while (true) {
        m_open = stream.get();
        auto limit = std::min(m_stalls.silenceTimeout(), m_scope.deadline - Clock::now());
        auto event = co_await stream->next(std::max<Clock::duration>(limit, Milliseconds(1)));
        if (m_exchange.callerDisconnected()) {
            cancelGeneration();
            m_result = "caller_gone";
            co_return Attempt::CallerGone;
        }
        if (Clock::now() >= m_scope.deadline) {
            cancelGeneration();
            Error late { .code = ErrorCode::DeadlineExceeded, .step = Step::Relay, .peer = stream->identity().target, .detail = "the request's deadline has passed", .outcome = Outcome::Ran };
            FailStream failure { .error = late, .delivered = m_session.deliveredToCaller() };
            co_await fail(std::move(failure));
            co_return Attempt::Failed;
        }
        if (!event)
            m_context.decisions.record(m_scope.id, "link_failed", std::string(toString(event.error().code)), event.error().peer, event.error().detail);
        m_linkBroke = !event && event.error().code == ErrorCode::LinkBroken;
        auto action = event ? noteEvent(*event) : m_session.onLinkFailure(event.error());
        std::vector<DeliverToken> tokens;
        std::optional<StreamAction> rest = collectTokens(std::move(action), *stream, tokens);
        if (!tokens.empty()) {
            auto delivered = co_await deliver(std::move(tokens));
            if (!delivered) {
                cancelGeneration();
                m_result = "caller_gone";
                co_return Attempt::CallerGone;
            }
        }
        if (!rest)
            continue;
        if (auto* drop = std::get_if<DropEvent>(&*rest)) {
            m_context.metrics.countDroppedEvent(std::string(nameOf(drop->reason)));
            continue;
        }
        bool resumes = std::holds_alternative<ResumeStream>(*rest);
        auto attempt = co_await act(std::move(*rest), stream);
        if (!resumes || !stream)
            co_return attempt;
    }
}

StreamAction GenerationRunner::noteEvent(const EngineEvent& event)
{
    if (std::holds_alternative<GenerationPreempted>(event))
        reportProgress(true);
    return m_session.onEvent(event);
}

/// Takes every token that has already arrived, so that one write carries them
/// all; gives the first action that is not a token, if one was met.
std::optional<StreamAction> GenerationRunner::collectTokens(StreamAction action, IEngineStream& stream, std::vector<DeliverToken>& tokens)
{
    while (auto* token = std::get_if<DeliverToken>(&action)) {
        noteToken();
        tokens.push_back(std::move(*token));
        auto next = stream.takeBuffered();
        if (!next)
            return std::nullopt;
        action = noteEvent(*next);
    }
    return action;
}

/// Carries out an action that ends an attempt, or renews the stream.
Awaitable<GenerationRunner::Attempt> GenerationRunner::act(StreamAction action, std::unique_ptr<IEngineStream>& stream)
{
    if (auto* resume = std::get_if<ResumeStream>(&action))
        co_return co_await reopen(*resume, stream);
    if (std::holds_alternative<RestartGeneration>(action)) {
        m_engineFailed = true;
        cancelGeneration();
        co_return Attempt::Restart;
    }
    if (auto* done = std::get_if<CompleteStream>(&action)) {
        co_await complete(*done);
        co_return Attempt::Completed;
    }
    if (auto* failure = std::get_if<FailStream>(&action)) {
        m_engineFailed = true;
        cancelGeneration();
        co_await fail(std::move(*failure));
    }
    co_return Attempt::Failed;
}

/// On success the new connection is in `stream`; otherwise the attempt has ended and it is empty.
Awaitable<GenerationRunner::Attempt> GenerationRunner::reopen(ResumeStream resume, std::unique_ptr<IEngineStream>& stream)
{
    while (true) {
        auto identity = *m_session.identity();
        co_await sleepFor(pauseBeforeResume);
        auto renewed = co_await m_engine->resume(identity, resume.offset);
        if (renewed) {
            m_context.metrics.countResume();
            m_context.decisions.record(m_scope.id, "resume", "same_generation", identity.target, "from " + std::to_string(resume.offset));
            m_stalls.onReopened(Clock::now());
            stream = std::move(*renewed);
            co_return Attempt::Completed;
        }
        m_context.decisions.record(m_scope.id, "resume_failed", std::string(toString(renewed.error().code)), identity.target, renewed.error().detail);
        stream.reset();
        m_open = nullptr;
        noteDeath(identity, renewed.error());
        auto action = m_session.onResumeRefused(renewed.error());
        auto* again = std::get_if<ResumeStream>(&action);
        if (!again)
            co_return co_await act(std::move(action), stream);
        resume = *again;
    }
}

void GenerationRunner::noteToken()
{
    auto now = Clock::now();
    m_stalls.onToken(now);
    if (m_lastTokenAt == TimePoint {})
        m_context.metrics.observeFirstToken(secondsBetween(m_scope.started, now));
    else
        m_context.metrics.observeTokenGap(secondsBetween(m_lastTokenAt, now));
    m_lastTokenAt = now;
    if (m_displaced || m_reportedAt + progressInterval < now)
        reportProgress(false);
}

void GenerationRunner::reportProgress(bool preempted)
{
    m_reportedAt = Clock::now();
    m_displaced = preempted;
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
        m_context.io, [engine = m_engine, identity = *identity, priority]() -> Awaitable<> { co_await engine->setPriority(identity, priority); }, asio::detached);
}

/// A link that broke, to a target that then is gone or knows nothing, is a target's death.
void GenerationRunner::noteDeath(const GenerationIdentity& identity, const Error& refusal)
{
    bool gone = refusal.code == ErrorCode::ConnectFailed || refusal.code == ErrorCode::NotFound;
    if (!m_linkBroke || !gone || m_fingerprint == 0)
        return;
    ++m_deaths;
    m_linkBroke = false;
    m_context.decisions.record(m_scope.id, "target_died", std::string(toString(refusal.code)), identity.target);
    m_context.quarantine.onCrash({ .fingerprint = m_fingerprint, .target = identity.target, .incarnation = identity.incarnation }, Clock::now());
}

/// A target that ends while it takes the request never told its incarnation.
void GenerationRunner::noteStartDeath(const std::string& target, const Error& error)
{
    if (error.code != ErrorCode::LinkBroken || error.step != Step::ReadReply || m_fingerprint == 0)
        return;
    ++m_deaths;
    m_context.quarantine.onCrash({ .fingerprint = m_fingerprint, .target = target, .incarnation = "at " + m_scope.id + std::to_string(m_session.restarts()) }, Clock::now());
}

void GenerationRunner::cancelGeneration()
{
    auto identity = m_session.identity();
    if (!m_engine || !identity)
        return;
    asio::co_spawn(
        m_context.io, [engine = m_engine, identity = *identity]() -> Awaitable<> { co_await engine->cancel(identity); }, asio::detached);
}

Awaitable<Result<void>> GenerationRunner::begin()
{
    if (m_begun)
        co_return Result<void> {};
    m_begun = true;
    HttpHeaders headers { { "X-Request-Id", m_scope.id }, { "traceparent", m_scope.trace.toTraceparent() } };
    co_return co_await m_exchange.beginEvents(std::move(headers));
}

Awaitable<Result<void>> GenerationRunner::deliver(std::vector<DeliverToken> tokens)
{
    if (!m_request.stream) {
        for (auto& token : tokens)
            m_text += token.text;
        co_return Result<void> {};
    }
    auto begun = co_await begin();
    if (!begun)
        co_return begun.error();
    std::string text;
    for (const auto& token : tokens)
        text += m_format.tokenEvent(eventIdOf(m_sealed, token.offset), token.text);
    auto written = co_await m_exchange.writeEvents(std::move(text));
    if (!written)
        co_return written.error();
    bool first = tokens.front().offset == 0;
    m_context.usage.charge(m_scope.organisation, { .promptTokens = first ? m_request.promptTokens : 0, .outputTokens = static_cast<std::int64_t>(tokens.size()), .requests = first ? 1 : 0 });
    m_context.metrics.countDeliveredTokens(m_scope.organisation, static_cast<int>(tokens.size()));
    co_return Result<void> {};
}

Awaitable<> GenerationRunner::complete(CompleteStream done)
{
    m_result = "completed";
    if (m_deaths > 0)
        m_context.quarantine.onCompleted(m_fingerprint, Clock::now());
    if (!m_request.stream) {
        Reply reply { .body = m_format.whole(m_text, done.finishReason, m_request.promptTokens, done.tokens) };
        reply.headers = { { "X-Request-Id", m_scope.id }, { "traceparent", m_scope.trace.toTraceparent() } };
        co_await m_exchange.send(std::move(reply));
        m_context.usage.charge(m_scope.organisation, { .promptTokens = m_request.promptTokens, .outputTokens = done.tokens, .requests = 1 });
        m_context.metrics.countDeliveredTokens(m_scope.organisation, done.tokens);
        co_return;
    }
    auto begun = co_await begin();
    if (!begun)
        co_return;
    std::string text = m_format.finishEvent(eventIdOf(m_sealed, done.tokens), done.finishReason);
    if (m_request.includeUsage)
        text += m_format.usageEvent(m_request.promptTokens, done.tokens);
    text += CompletionFormat::doneEvent();
    auto written = co_await m_exchange.writeEvents(std::move(text));
    if (written)
        co_await m_exchange.endEvents();
}

Awaitable<> GenerationRunner::fail(FailStream failure)
{
    m_result = std::string(toString(failure.error.code));
    ProblemOptions options { .requestId = m_scope.id, .deliveredTokens = failure.delivered };
    bool mayComeBack = failure.error.code == ErrorCode::Overloaded || failure.error.code == ErrorCode::Unavailable || failure.error.code == ErrorCode::Stopping;
    if (mayComeBack)
        options.retryAfter = Seconds(1);
    logEvent(LogLevel::Warning, "request_failed", { { "request_id", m_scope.id }, { "code", m_result }, { "step", std::string(toString(failure.error.step)) }, { "peer", failure.error.peer }, { "outcome", std::string(toString(failure.error.outcome)) }, { "delivered_tokens", std::int64_t(failure.delivered) }, { "detail", failure.error.detail } });
    if (!m_begun) {
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
        if (m_open)
            m_open->cancelWait();
    });
    if (!m_engine) {
        Error gone { .code = ErrorCode::NotFound, .step = Step::Resume, .peer = handle.identity.target, .detail = "the target is gone", .outcome = Outcome::Ran };
        FailStream failure { .error = gone };
        co_await fail(std::move(failure));
        co_return m_result;
    }
    m_sealed = m_context.sealer.seal(handle, m_scope.id);
    std::unique_ptr<IEngineStream> stream;
    ResumeStream from { .offset = firstOffset };
    co_await reopen(from, stream);
    if (stream)
        co_await follow(std::move(stream));
    co_return m_result;
}

}
