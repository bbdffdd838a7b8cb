#include "relay/streamrelay.h"

#include "common/hash.h"
#include "common/log.h"
#include "relay/streamend.h"

#include <charconv>

namespace guavaspan {

namespace {

    constexpr auto connectTimeout = Milliseconds(400);
    /// Maximum number of times that one request is sent, counting refused and failed connection attempts.
    constexpr int maxSends = 3;
    /// Time that an engine needs from a request to its first event, to process a prompt of some thousand tokens.
    constexpr auto timeToFirstEvent = Milliseconds(450);
    /// A stopped generation's handle arrives only after its copy was sent, possibly over a busy link.
    constexpr auto moveTimeout = Milliseconds(4500);

    std::optional<std::int64_t> parseEventNumber(const std::string& text)
    {
        std::int64_t eventNumber = 0;
        auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), eventNumber);
        if (failure != std::errc {} || end != text.data() + text.size() || text.empty())
            return std::nullopt;
        return eventNumber;
    }

}

/// State of one request across all engines that it is sent to.
struct StreamRelay::Session {
    RelayRequest& request;
    SendGate gate;
    RelayResult result;
    WorkId id = 0;
    std::shared_ptr<LiveStream> stream;
    std::unique_ptr<TargetConnection> connection;
    EventFrameParser frames;
    bool headerSent = false;
    bool answered = false;
    bool mayHaveRun = false;
    /// Time until the deadline, as stated to the current engine.
    Milliseconds timeLeft { 0 };
    /// The current engine sent bytes that are no answer.
    bool malformed = false;
    /// When the current engine received the request.
    TimePoint sentAt;
    /// When the current engine last sent a part of its answer; at least sentAt.
    TimePoint lastHeardAt;
    TimePoint lastEventAt;
    /// Tokens of events that were written to the caller.
    int deliveredTokens = 0;
    std::optional<std::int64_t> lastEventNumber;
    TargetResponseHead responseHead;
    /// Retry delay suggested by the placement that refused the request.
    Clock::duration retryAfter {};
    /// Set if the request is refused for another reason than missing capacity.
    std::optional<SendRefusal> refusal;
};

std::string StreamRelay::reasonFor(StreamOutcome outcome)
{
    switch (outcome) {
    case StreamOutcome::Complete:
        return "answered";
    case StreamOutcome::Interrupted:
        return "stream_broke";
    case StreamOutcome::CallerGone:
        return "caller_gone";
    case StreamOutcome::DeadlineReached:
        return "timeout";
    case StreamOutcome::OutOfOrder:
        return "events_out_of_order";
    case StreamOutcome::Malformed:
        return "stream_malformed";
    }
    return "stream_broke";
}

StreamRelay::StreamOutcome StreamRelay::outcomeOf(const Error& error)
{
    if (error.code == ErrorCode::Timeout)
        return StreamOutcome::DeadlineReached;
    return error.code == ErrorCode::BadReply ? StreamOutcome::Malformed : StreamOutcome::Interrupted;
}

WorkEstimate StreamRelay::estimateOf(const RelayRequest& request) const
{
    int output = m_context.outputEstimator.expectedTokens(request.route.name, request.caller.guessedOutputTokens, request.caller.maxOutputTokens);
    return { .promptTokens = request.caller.promptTokens, .outputTokens = output };
}

/// Sends the request to an engine and reads the header of its answer. True if the engine accepted it.
Awaitable<bool> StreamRelay::open(Session& session, const TargetEntry& target, std::optional<Continuation> continuation)
{
    auto& request = session.request;
    session.connection = std::make_unique<TargetConnection>(m_context.io.get_executor());
    auto* connection = session.connection.get();
    request.callerWatch.setCancelAction([connection] { connection->cancel(); });
    session.responseHead = {};
    session.malformed = false;
    session.timeLeft = timeLeft(request);
    auto message = m_context.wireFormat.buildTargetRequest(request.exchange.request(), { .target = target, .organisation = request.organisation, .timeLeft = session.timeLeft, .urgency = std::min(request.priority, 9), .continuation = std::move(continuation) });
    auto attemptConnectTimeout = std::min<Clock::duration>(connectTimeout, timeLeft(request));
    session.sentAt = Clock::now();
    session.lastHeardAt = session.sentAt;
    auto opened = co_await connection->open(target.endpoint, std::move(message), attemptConnectTimeout);
    recordConnection(m_context, request, target, bool(opened));
    if (!opened) {
        session.result.detail = describe(opened.error());
        session.responseHead.notRun = true;
        co_return false;
    }
    connection->setDeadline(request.deadline);
    auto read = co_await connection->readHeader();
    if (!read) {
        session.mayHaveRun = true;
        session.malformed = read.error().code == ErrorCode::BadReply;
        session.result.detail = describe(read.error());
        co_return false;
    }
    session.responseHead = readResponseHead(m_context, request, target, connection->header());
    onHeard(session, target);
    recordTargetState(m_context, target, session.responseHead);
    session.result.detail = "status " + std::to_string(session.responseHead.status);
    if (session.responseHead.notRun)
        co_return false;
    session.mayHaveRun = true;
    bool matchesRequest = request.caller.requestId.empty() || session.responseHead.requestId == request.caller.requestId;
    bool accepted = session.responseHead.status == 200 && session.responseHead.sealed && !session.responseHead.encoded && matchesRequest;
    if (accepted)
        session.frames = {};
    co_return accepted;
}

void StreamRelay::recordStartFailure(const std::string& address, const Session& session)
{
    auto& outcomes = m_context.dispatcher.outcomes();
    if (session.responseHead.status == 0 && !session.malformed)
        outcomes.onUnreachable(address, Clock::now());
    else
        outcomes.onFailure(address, Clock::now());
}

void StreamRelay::onHeard(Session& session, const TargetEntry& target)
{
    session.lastHeardAt = Clock::now();
    m_context.crashGuard.onTargetAnswered(target, session.sentAt);
    m_context.promptGuard.onTargetAnswered(target, session.sentAt);
}

/// Ends the trial if there is one.
void StreamRelay::reportUnanswered(Session& session, const TargetEntry& target, bool abandoned)
{
    // Connections of an instance that has lost its path break without a fault of the target; only its end confirms one.
    bool pathLost = m_context.dispatcher.targetPath().isLost(target.service);
    bool interrupted = !abandoned && !pathLost && !session.headerSent && !session.stream->isStopping();
    if (interrupted)
        m_context.promptGuard.onInterrupted({ .parts = session.request.caller.sharedParts, .target = target, .sentAt = session.sentAt, .onTrial = session.gate.onTrial() }, Clock::now());
    m_context.crashGuard.onUnanswered({ .fingerprint = session.request.fingerprint, .target = target, .sentAt = session.sentAt, .lastHeardAt = session.lastHeardAt, .abandoned = abandoned, .pathLost = pathLost, .onTrial = session.gate.onTrial() }, Clock::now());
    session.gate.endTrial(abandoned ? trialEndAfterSilence(Clock::now() - session.lastHeardAt) : TrialEnd::Broken);
}

/// Finds an engine that starts the request. False if none did; session.responseHead may then hold an engine's error.
Awaitable<bool> StreamRelay::start(Session& session)
{
    auto& request = session.request;
    m_retryGate.onRequest(request);
    auto startTimeout = std::max<Clock::duration>(Milliseconds(0), request.route.latencyObjective - timeToFirstEvent);
    PlacementRequest placementRequest { .service = request.service.name, .engine = request.service.engine, .organisation = request.organisation, .rank = request.rank(), .estimate = estimateOf(request), .contentHash = request.caller.contentHash, .latestStart = std::min<TimePoint>(request.deadline, request.arrivedAt + startTimeout) };
    auto& gate = session.gate;
    while (session.result.sends < maxSends && !m_context.dispatcher.targetPath().isLost(request.service.name)) {
        session.refusal = gate.refusal();
        if (session.refusal)
            co_return false;
        session.id = m_context.dispatcher.nextId();
        placementRequest.id = session.id;
        placementRequest.excluded = gate.excludedTargets();
        auto id = session.id;
        request.callerWatch.setCancelAction([this, id] { m_context.placement.cancel(id); });
        auto placement = co_await m_context.placement.place(placementRequest);
        if (request.callerWatch.gone() || !placement) {
            session.result.detail = placement ? "" : placement.error().detail;
            if (!placement)
                session.retryAfter = placement.error().retryAfter;
            co_return false;
        }
        if (gate.needsTrial() && !co_await gate.startTrial(id, placement->target)) {
            m_context.placement.release(session.id);
            session.id = 0;
            co_await sleepFor(SendGate::trialRetryInterval);
            continue;
        }
        if (!gate.tryClaim(placement->target)) {
            gate.endTrial(TrialEnd::Answered);
            m_context.placement.release(session.id);
            session.id = 0;
            continue;
        }
        m_context.metrics.recordWait(std::chrono::duration<double>(placement->waited).count());
        ++session.result.sends;
        session.result.waitTime += placement->waited;
        session.result.target = placement->target.id;
        auto target = placement->target;
        auto address = toString(target.endpoint);
        session.stream = std::make_shared<LiveStream>(m_context.io, session.id, request.caller.requestId, target, placementRequest.estimate);
        m_context.streams.add(session.stream);
        bool accepted = co_await open(session, target, std::nullopt);
        logEvent(LogLevel::Info, "attempt", { { "request", request.caller.requestId }, { "fingerprint", hexOf(request.fingerprint) }, { "prompt_parts", describe(request.caller.sharedParts) }, { "target", target.id }, { "send", std::int64_t(session.result.sends) }, { "accepted", accepted }, { "detail", session.result.detail }, { "waited_ms", std::chrono::duration_cast<Milliseconds>(placement->waited).count() }, { "target_requests", std::int64_t(placement->targetRequests) }, { "target_tokens", placement->targetTokens }, { "decider", std::string(toString(placement->decider)) }, { "own_tokens", std::int64_t(placementRequest.estimate.totalTokens()) }, { "output_bound", std::int64_t(request.caller.maxOutputTokens) }, { "guessed_tokens", std::int64_t(request.caller.guessedOutputTokens.value_or(0)) }, { "late", placement->late }, { "time_left_ms", session.timeLeft.count() }, { "caller_time_ms", request.caller.timeLeft.value_or(Milliseconds(0)).count() }, { "configuration", request.table->version() } });
        if (accepted) {
            m_context.dispatcher.outcomes().onSuccess(address, Clock::now());
            co_return true;
        }
        m_context.streams.remove(session.id);
        if (!request.callerWatch.gone())
            recordStartFailure(address, session);
        bool unanswered = session.mayHaveRun && session.responseHead.status == 0 && !session.malformed;
        if (unanswered)
            reportUnanswered(session, target, request.callerWatch.gone() || Clock::now() >= request.deadline);
        else
            gate.endTrial(TrialEnd::Answered);
        if (request.callerWatch.gone() || !session.responseHead.notRun)
            co_return false;
        m_context.placement.release(session.id);
        session.id = 0;
        gate.exclude(target.id);
        if (!m_retryGate.tryTake(request, RetryCause::NotRun))
            co_return false;
    }
    co_return false;
}

Awaitable<StreamRelay::StreamOutcome> StreamRelay::forwardFrames(Session& session)
{
    std::string bytes;
    int newTokens = 0;
    int tokensPerEvent = session.request.service.engine ? session.request.service.engine->tokensPerEvent : 1;
    while (auto frame = session.frames.next()) {
        auto eventNumber = parseEventNumber(frame->id);
        if (eventNumber && session.lastEventNumber) {
            // An engine that resumes a generation may first repeat events that the caller already received.
            if (*eventNumber <= *session.lastEventNumber)
                continue;
            if (*eventNumber != *session.lastEventNumber + 1)
                co_return StreamOutcome::OutOfOrder;
        }
        if (eventNumber)
            session.lastEventNumber = eventNumber;
        bytes += frame->bytes;
        if (!frame->hasData && frame->id.empty())
            continue;
        session.stream->onEvent(frame->id, tokensPerEvent);
        newTokens += tokensPerEvent;
    }
    if (bytes.empty())
        co_return StreamOutcome::Complete;
    auto now = Clock::now();
    if (!session.headerSent) {
        auto header = withoutHopByHopHeaders(session.connection->header());
        http::response<http::empty_body> head { std::move(header.base()) };
        session.headerSent = true;
        m_context.promptGuard.onAnswerBegun(session.request.caller.sharedParts, now);
        // The trial of a part ends with the first event, since many requests wait for it.
        if (!m_context.crashGuard.needsTrial(session.request.fingerprint))
            session.gate.endTrial(TrialEnd::Answered);
        session.result.firstEventDelay = now - session.request.arrivedAt;
        m_context.metrics.recordFirstEvent(session.request.route.name, secondsBetween(session.request.arrivedAt, now));
        auto started = co_await session.request.exchange.beginResponse(std::move(head));
        if (!started)
            co_return StreamOutcome::CallerGone;
    } else {
        session.result.longestPause = std::max<Clock::duration>(session.result.longestPause, now - session.lastEventAt);
        m_context.metrics.recordPause(secondsBetween(session.lastEventAt, now));
    }
    session.lastEventAt = now;
    if (session.gate.onTrial() && m_context.crashGuard.outlives(session.request.fingerprint, session.sentAt, now)) {
        m_context.crashGuard.onCompleted(session.request.fingerprint, session.sentAt, now);
        session.gate.endTrial(TrialEnd::Answered);
    }
    m_context.dispatcher.setOutputTokens(session.id, session.stream->outputTokens());
    auto written = co_await session.request.exchange.writeEvents(std::move(bytes));
    if (!written)
        co_return StreamOutcome::CallerGone;
    session.deliveredTokens += newTokens;
    co_return StreamOutcome::Complete;
}

/// Forwards one engine's events until its stream ends.
Awaitable<StreamRelay::StreamOutcome> StreamRelay::relayEvents(Session& session)
{
    auto& callerWatch = session.request.callerWatch;
    auto* connection = session.connection.get();
    session.stream->setInterruptHandler([connection] { connection->cancel(); });
    while (true) {
        auto chunk = co_await connection->readSome();
        if (callerWatch.gone())
            co_return StreamOutcome::CallerGone;
        if (!chunk) {
            session.result.detail = describe(chunk.error());
            recordBodyEnd(m_context, session.request, *connection, chunk);
            co_return session.request.cut ? StreamOutcome::DeadlineReached : outcomeOf(chunk.error());
        }
        if (chunk->empty()) {
            recordBodyEnd(m_context, session.request, *connection, chunk);
            break;
        }
        onHeard(session, session.stream->target());
        session.frames.feed(*chunk);
        auto forwarded = co_await forwardFrames(session);
        if (forwarded != StreamOutcome::Complete)
            co_return forwarded;
        if (session.frames.exceedsLimit() || session.frames.isMalformed()) {
            session.result.detail = session.frames.isMalformed() ? "event without a field" : "event too large";
            co_return StreamOutcome::Malformed;
        }
    }
    StreamEnd end { .hasPartialFrame = session.frames.hasPartialFrame(), .endsAtClose = connection->bodyEndsAtClose(), .hasPendingMove = session.stream->hasPendingMove(), .isStopping = session.stream->isStopping(), .isTargetUsable = m_context.directory.isUsable(session.stream->target().id) };
    co_return isComplete(end) ? StreamOutcome::Complete : StreamOutcome::Interrupted;
}

/// Resumes the generation at the engine that has its copy, or else at the engine that stopped it. False if neither resumes it.
Awaitable<bool> StreamRelay::resume(Session& session)
{
    auto interruptedAt = Clock::now();
    session.stream->setInterruptHandler(nullptr);
    session.request.callerWatch.setCancelAction([stream = session.stream] { stream->onStopFailed(); });
    auto move = co_await session.stream->awaitMove(moveTimeout);
    if (!move || session.request.callerWatch.gone() || session.request.cut)
        co_return false;
    if (!session.headerSent && session.gate.crashRefusal())
        co_return false;
    auto continuation = move->continuation;
    continuation.lastEventId = session.stream->lastEventId();
    auto logMove = [&](const TargetEntry& target, bool accepted) {
        m_context.metrics.recordResume(accepted ? "resumed" : "refused");
        logEvent(LogLevel::Info, "stream_moved", { { "request", session.request.caller.requestId }, { "source", move->source.id }, { "destination", target.id }, { "service", session.request.service.name }, { "last_event", continuation.lastEventId }, { "time_left_ms", session.timeLeft.count() }, { "accepted", accepted }, { "detail", session.result.detail }, { "silent_ms", std::chrono::duration_cast<Milliseconds>(Clock::now() - interruptedAt).count() } });
    };
    session.stream->setTarget(move->destination);
    m_context.placement.setTarget(session.id, move->destination.id);
    m_context.targetLimits.take(move->destination, Clock::now());
    bool accepted = co_await open(session, move->destination, continuation);
    logMove(move->destination, accepted);
    bool mayTrySource = !accepted && session.responseHead.notRun && move->destination.id != move->source.id && !session.request.callerWatch.gone();
    if (mayTrySource) {
        session.stream->setTarget(move->source);
        m_context.placement.setTarget(session.id, move->source.id);
        m_context.targetLimits.take(move->source, Clock::now());
        accepted = co_await open(session, move->source, continuation);
        logMove(move->source, accepted);
    }
    session.result.target = session.stream->target().id;
    ++session.result.moves;
    co_return accepted;
}

Awaitable<> StreamRelay::respondUnstarted(Session& session)
{
    auto& request = session.request;
    auto& result = session.result;
    if (request.callerWatch.gone()) {
        result.reason = "caller_gone";
        co_return;
    }
    if (session.refusal) {
        result.status = 503;
        result.reason = session.refusal->reason;
        co_await sendRefusal(request.exchange, result.status, result.reason, session.refusal->retryAfter);
        co_return;
    }
    if (!session.mayHaveRun) {
        result.status = 503;
        result.reason = "no_room";
        auto retryAfter = std::max(session.retryAfter, m_context.dispatcher.retryAfter(request.service.name, request.organisation, request.rank(), estimateOf(request)));
        co_await sendRefusal(request.exchange, result.status, result.reason, retryAfter);
        co_return;
    }
    bool matchesRequest = session.responseHead.requestId == request.caller.requestId;
    bool impliesNotRun = session.responseHead.status == 408 || session.responseHead.status == 429 || session.responseHead.status == 503;
    bool isTargetError = session.responseHead.status >= 300 && matchesRequest && session.responseHead.sealed && !impliesNotRun;
    if (isTargetError) {
        auto body = co_await session.connection->readAll();
        if (body) {
            auto response = withoutHopByHopHeaders(session.connection->header());
            response.body() = std::move(*body);
            result.status = session.responseHead.status;
            result.reason = "target_failure";
            co_await request.exchange.sendResponse(std::move(response));
            co_return;
        }
    }
    bool deadlinePassed = Clock::now() >= request.deadline;
    result.status = deadlinePassed ? 504 : 502;
    result.reason = deadlinePassed ? "timeout" : "target_broke";
    if (request.cut)
        result.reason = "stopping";
    co_await sendFailure(request.exchange, result.status, result.reason);
}

Awaitable<> StreamRelay::finish(Session& session, StreamOutcome outcome)
{
    auto& exchange = session.request.exchange;
    session.result.reason = session.request.cut && outcome == StreamOutcome::DeadlineReached ? "stopping" : reasonFor(outcome);
    session.result.events = session.stream->eventCount();
    if (outcome == StreamOutcome::Complete && session.headerSent) {
        session.result.status = 200;
        m_context.outputEstimator.addObservation(session.request.route.name, session.request.caller.guessedOutputTokens, session.stream->outputTokens());
        co_await exchange.endEvents();
        co_return;
    }
    if (outcome == StreamOutcome::CallerGone)
        co_return;
    if (session.headerSent) {
        // Without the last chunk of the HTTP body the caller detects that the answer is incomplete.
        exchange.abort();
        co_return;
    }
    session.result.status = outcome == StreamOutcome::DeadlineReached ? 504 : 502;
    co_await sendFailure(exchange, session.result.status, session.result.reason);
}

Awaitable<RelayResult> StreamRelay::run(RelayRequest& request)
{
    Session session { .request = request, .gate = makeSendGate(m_context, request) };
    bool started = co_await start(session);
    bool mayRelayToPeer = !started && !session.mayHaveRun && !session.refusal && !request.callerWatch.gone();
    if (mayRelayToPeer && m_context.dispatcher.targetPath().isLost(request.service.name)) {
        session.result = co_await m_peerRelay.run(request);
    } else if (!started) {
        co_await respondUnstarted(session);
    } else {
        auto outcome = co_await relayEvents(session);
        while (outcome == StreamOutcome::Interrupted && co_await resume(session))
            outcome = co_await relayEvents(session);
        if (request.cut && outcome == StreamOutcome::Interrupted)
            outcome = StreamOutcome::DeadlineReached;
        const auto& lastTarget = session.stream->target();
        if (outcome == StreamOutcome::Complete)
            m_context.crashGuard.onCompleted(request.fingerprint, session.sentAt, Clock::now());
        else if (outcome != StreamOutcome::OutOfOrder && outcome != StreamOutcome::Malformed)
            reportUnanswered(session, lastTarget, outcome != StreamOutcome::Interrupted);
        session.gate.endTrial(TrialEnd::Answered);
        bool failed = outcome == StreamOutcome::Malformed || (outcome == StreamOutcome::Interrupted && m_context.directory.isUsable(lastTarget.id));
        if (failed)
            m_context.dispatcher.outcomes().onFailure(toString(lastTarget.endpoint), Clock::now());
        if (request.callerWatch.gone())
            outcome = StreamOutcome::CallerGone;
        session.connection->cancel();
        co_await finish(session, outcome);
        session.stream->setInterruptHandler(nullptr);
        // Delivered tokens are charged once, however often the generation moved.
        if (session.headerSent)
            m_context.usage.charge(request.organisation, { .promptTokens = request.caller.promptTokens, .outputTokens = session.deliveredTokens, .requests = 1 });
    }
    request.callerWatch.setCancelAction(nullptr);
    m_context.streams.remove(session.id);
    m_context.placement.release(session.id);
    co_return session.result;
}

}
