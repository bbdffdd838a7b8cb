#include "relay/streamrelay.h"

#include "common/log.h"
#include "relay/resumetargets.h"
#include "relay/runinquiry.h"

#include <charconv>

namespace guavaspan {

namespace {

    /// A stopped generation's handle arrives only after its copy was sent, possibly over a busy link.
    constexpr auto moveTimeout = Milliseconds(4500);
    /// Longest time for which a stopped generation waits for this instance's share of a cold target. After that it is resumed
    /// without one, since its engine may be gone.
    constexpr auto maxShareWait = Milliseconds(1500);
    constexpr auto shareRecheckInterval = Milliseconds(20);

    /// Events of one sample of an engine's pace. An instance whose CPU quota is used up reads several events late and at once, which cancels
    /// out over some events.
    constexpr int eventsPerPaceSample = 3;
    /// A caller that reads slowly blocks a write for longer than this, and the events that arrive meanwhile are read late.
    constexpr auto slowWrite = Milliseconds(20);

    std::optional<std::int64_t> parseEventNumber(const std::string& text)
    {
        std::int64_t eventNumber = 0;
        auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), eventNumber);
        if (failure != std::errc {} || end != text.data() + text.size() || text.empty())
            return std::nullopt;
        return eventNumber;
    }

}

std::string StreamRelay::reasonFor(StreamOutcome outcome)
{
    switch (outcome) {
    case StreamOutcome::Complete:
        return "answered";
    case StreamOutcome::Interrupted:
    case StreamOutcome::Ambiguous:
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

/// Takes note of the time that the engine needed for the events that have just arrived.
void StreamRelay::recordPace(GenerationSession& session, int events, TimePoint now)
{
    if (events == 0 || !session.request.service.engine)
        return;
    auto& paces = m_context.dispatcher.paces();
    const auto& target = session.stream->target();
    if (session.awaitsPrompt)
        paces.onFirstEvent(target, session.request.caller.promptTokens, now - session.sentAt, now);
    session.awaitsPrompt = false;
    auto load = m_context.dispatcher.ledger().totalLoad(target.id);
    if (session.pacedSince) {
        session.pacedEvents += events;
        session.pacedTime += now - *session.pacedSince;
        session.pacedBesidePrompts = session.pacedBesidePrompts || load.pendingPromptTokens > 0;
    }
    session.pacedSince = now;
    if (session.pacedEvents < eventsPerPaceSample)
        return;
    // Prompts beside the stream double the time of its events, which would make a target that got many at once look slow.
    if (!session.pacedBesidePrompts)
        paces.onEventGap(target, session.pacedEvents, session.pacedTime, std::max(load.requests, session.requestsBeside + 1), now);
    session.pacedEvents = 0;
    session.pacedTime = {};
    session.pacedBesidePrompts = false;
}

Awaitable<StreamRelay::StreamOutcome> StreamRelay::forwardFrames(GenerationSession& session)
{
    std::string bytes;
    int newEvents = 0;
    int tokensPerEvent = session.request.service.engine ? session.request.service.engine->tokensPerEvent : 1;
    while (auto frame = session.frames.next()) {
        auto eventNumber = parseEventNumber(frame->id);
        auto position = eventNumber ? session.events.add(*eventNumber) : EventPosition::Next;
        if (position == EventPosition::Repeated)
            continue;
        if (position == EventPosition::AfterGap)
            co_return StreamOutcome::OutOfOrder;
        bytes += frame->bytes;
        if (!frame->hasData && frame->id.empty())
            continue;
        session.stream->onEvent(frame->id, tokensPerEvent);
        ++newEvents;
    }
    if (bytes.empty())
        co_return StreamOutcome::Complete;
    auto now = Clock::now();
    recordPace(session, newEvents, now);
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
        auto objective = session.request.route.eventGapObjective;
        if (objective > Milliseconds(0) && now - session.lastEventAt > objective)
            m_context.metrics.recordLongPause(session.request.route.name, m_context.dispatcher.slowTargets(session.request.service.name, PaceKind::Events).contains(session.stream->target().id));
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
    if (Clock::now() - now > slowWrite)
        session.pacedSince.reset();
    session.deliveredTokens += newEvents * tokensPerEvent;
    co_return StreamOutcome::Complete;
}

/// Forwards one engine's events until its stream ends.
Awaitable<StreamRelay::StreamOutcome> StreamRelay::relayEvents(GenerationSession& session)
{
    auto& callerWatch = session.request.callerWatch;
    auto* connection = session.connection.get();
    session.stream->setInterruptHandler([connection] { connection->cancel(); });
    while (true) {
        auto chunk = co_await connection->readSome();
        if (callerWatch.gone())
            co_return StreamOutcome::CallerGone;
        if (!chunk || chunk->empty())
            recordBodyEnd(m_context, session.request, *connection, chunk);
        if (!chunk) {
            session.result.detail = describe(chunk.error());
            co_return session.request.cut ? StreamOutcome::DeadlineReached : outcomeOf(chunk.error());
        }
        if (chunk->empty())
            break;
        m_starter.onHeard(session, session.stream->target());
        session.frames.feed(*chunk);
        auto forwarded = co_await forwardFrames(session);
        if (forwarded != StreamOutcome::Complete)
            co_return forwarded;
        if (session.frames.exceedsLimit() || session.frames.isMalformed()) {
            session.result.detail = session.frames.isMalformed() ? "event without a field" : "event too large";
            co_return StreamOutcome::Malformed;
        }
        // Each event is bounded, but those of all streams together may exceed the memory.
        if (!session.request.exchange.holdAnswer(session.frames.partialBytes())) {
            session.result.detail = "no room for an incomplete event";
            co_return StreamOutcome::Malformed;
        }
    }
    StreamEnd end { .hasPartialFrame = session.frames.hasPartialFrame(), .endsAtClose = connection->bodyEndsAtClose(), .hasPendingMove = session.stream->hasPendingMove(), .mayHaveStopped = session.stream->mayHaveStopped(), .isTargetReady = m_context.directory.isIncarnationReady(session.stream->target()) };
    co_return outcomeOf(judge(end));
}

StreamRelay::StreamOutcome StreamRelay::outcomeOf(StreamVerdict verdict)
{
    switch (verdict) {
    case StreamVerdict::Complete:
        return StreamOutcome::Complete;
    case StreamVerdict::Ambiguous:
        return StreamOutcome::Ambiguous;
    case StreamVerdict::Incomplete:
        return StreamOutcome::Interrupted;
    }
    return StreamOutcome::Interrupted;
}

/// Takes one request from this instance's share. Several generations may have been moved to one cold target at a time.
Awaitable<> StreamRelay::takeShare(const GenerationSession& session, const TargetEntry& target)
{
    auto& limits = m_context.targetLimits;
    auto waitsUntil = std::min<TimePoint>(Clock::now() + maxShareWait, session.request.deadline);
    while (!session.request.callerWatch.gone() && !session.request.cut) {
        auto now = Clock::now();
        auto wait = limits.coldWaitTime(target.id, now);
        if (wait <= Clock::duration::zero() || now + wait > waitsUntil)
            break;
        // Another generation may take the request that becomes available.
        co_await sleepFor(std::min<Clock::duration>(wait + Milliseconds(1), shareRecheckInterval));
    }
    limits.take(target, Clock::now());
}

/// Resumes the generation at the engine that has its copy, or else at the engine that stopped it, as far as evacuations allow it.
Awaitable<StreamRelay::ResumeResult> StreamRelay::resume(GenerationSession& session)
{
    auto interruptedAt = Clock::now();
    session.stream->setInterruptHandler(nullptr);
    session.request.callerWatch.setCancelAction([stream = session.stream] { stream->onStopFailed(); });
    auto move = co_await session.stream->awaitMove(moveTimeout);
    if (!move)
        co_return ResumeResult::NoMove;
    if (session.request.callerWatch.gone() || session.request.cut)
        co_return ResumeResult::Failed;
    if (!session.headerSent && session.gate.crashRefusal())
        co_return ResumeResult::Failed;
    auto continuation = move->continuation;
    continuation.lastEventId = session.stream->lastEventId();
    auto logMove = [&](const TargetEntry& target, bool accepted) {
        m_context.metrics.recordResume(accepted ? "resumed" : "refused");
        logEvent(LogLevel::Info, "stream_moved", { { "request", session.request.caller.requestId }, { "source", move->source.id }, { "destination", target.id }, { "service", session.request.service.name }, { "last_event", continuation.lastEventId }, { "time_left_ms", session.timeLeft.count() }, { "accepted", accepted }, { "detail", session.result.detail }, { "silent_ms", std::chrono::duration_cast<Milliseconds>(Clock::now() - interruptedAt).count() } });
    };
    auto targets = resumeTargets(*move, m_context.directory.evacuations(), Clock::now());
    if (targets.empty()) {
        session.result.detail = "the engines that have the generation are evacuated";
        logMove(move->destination, false);
    }
    bool accepted = false;
    bool mayTry = true;
    for (auto target = targets.begin(); target != targets.end() && mayTry; ++target) {
        session.stream->setTarget(*target);
        m_context.placement.setTarget(session.id, target->id);
        co_await takeShare(session, *target);
        if (session.request.callerWatch.gone() || session.request.cut)
            co_return ResumeResult::Failed;
        accepted = co_await m_starter.open(session, *target, continuation);
        logMove(*target, accepted);
        mayTry = !accepted && session.responseHead.notRun && !session.request.callerWatch.gone();
    }
    session.events.onResumed();
    session.result.target = session.stream->target().id;
    ++session.result.moves;
    co_return accepted ? ResumeResult::Resumed : ResumeResult::Failed;
}

/// Relays the generation, wherever it moves, until it ends.
Awaitable<StreamRelay::StreamOutcome> StreamRelay::relayGeneration(GenerationSession& session)
{
    while (true) {
        auto outcome = co_await relayEvents(session);
        if (outcome != StreamOutcome::Interrupted && outcome != StreamOutcome::Ambiguous)
            co_return outcome;
        auto resumed = co_await resume(session);
        if (outcome == StreamOutcome::Ambiguous && resumed == ResumeResult::NoMove) {
            if (co_await isRunOver(m_context, session.request, *session.stream))
                co_return StreamOutcome::Complete;
            // The move may have been made while the engine was asked.
            resumed = co_await resume(session);
        }
        if (resumed != ResumeResult::Resumed)
            co_return StreamOutcome::Interrupted;
    }
}

Awaitable<> StreamRelay::respondUnstarted(GenerationSession& session)
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
        // The advice of the instance that refused keeps the order of its callers.
        auto retryAfter = session.retryAfter.count() > 0 ? session.retryAfter : m_context.dispatcher.retryAfter(request.service.name, request.organisation, request.rank(), m_starter.estimateOf(request));
        co_await sendRefusal(request.exchange, result.status, result.reason, retryAfter);
        co_return;
    }
    bool matchesRequest = session.responseHead.requestId == request.caller.requestId;
    bool impliesNotRun = session.responseHead.status == 408 || session.responseHead.status == 429 || session.responseHead.status == 503;
    bool isTargetError = session.responseHead.status >= 300 && matchesRequest && session.responseHead.sealed && !impliesNotRun;
    if (isTargetError) {
        auto body = co_await session.connection->readAll([&](std::size_t bytes) { return request.exchange.holdAnswer(bytes); });
        if (body) {
            auto response = passedOnAnswer(request.exchange.request(), session.connection->header(), std::move(*body));
            result.status = session.responseHead.status;
            result.reason = "target_failure";
            co_await request.exchange.sendResponse(std::move(response));
            co_return;
        }
    }
    bool deadlinePassed = Clock::now() >= request.deadline;
    result.status = deadlinePassed ? 504 : 502;
    result.reason = deadlinePassed ? "timeout" : "target_broke";
    if (request.endedByStop(Clock::now()))
        result.reason = reasonStopping;
    co_await sendFailure(request.exchange, result.status, result.reason);
}

Awaitable<> StreamRelay::finish(GenerationSession& session, StreamOutcome outcome)
{
    auto& exchange = session.request.exchange;
    bool endedByStop = outcome == StreamOutcome::DeadlineReached && session.request.endedByStop(Clock::now());
    session.result.reason = endedByStop ? reasonStopping : reasonFor(outcome);
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
        // What was taken from the engine is charged, so a slow caller gets it. A stopping process does not wait.
        if (!session.request.cut)
            co_await exchange.drain();
        // Without the last chunk of the HTTP body the caller detects that the answer is incomplete.
        exchange.abort();
        co_return;
    }
    session.result.status = outcome == StreamOutcome::DeadlineReached ? 504 : 502;
    co_await sendFailure(exchange, session.result.status, session.result.reason);
}

/// Delivered tokens are charged once, however often the generation moved or this was called before.
void StreamRelay::chargeDelivered(GenerationSession& session)
{
    if (!session.headerSent)
        return;
    const auto& request = session.request;
    Usage delivered { .promptTokens = request.caller.promptTokens, .outputTokens = session.deliveredTokens, .requests = 1 };
    if (delivered == session.charged)
        return;
    m_context.usage.charge(request.organisation, delivered - session.charged);
    session.charged = delivered;
}

Awaitable<RelayResult> StreamRelay::run(RelayRequest& request)
{
    GenerationSession session { .request = request, .gate = makeSendGate(m_context, request) };
    request.chargeDelivered = [this, &session] { chargeDelivered(session); };
    bool started = co_await m_starter.start(session);
    bool mayRelayToPeer = !started && !session.mayHaveRun && !session.refusal && !request.callerWatch.gone();
    if (mayRelayToPeer && m_context.dispatcher.targetPath().isLost(request.service.name)) {
        session.result = co_await m_peerRelay.run(request);
    } else if (!started) {
        co_await respondUnstarted(session);
    } else {
        auto outcome = co_await relayGeneration(session);
        if (request.cut && outcome == StreamOutcome::Interrupted)
            outcome = StreamOutcome::DeadlineReached;
        const auto& lastTarget = session.stream->target();
        if (outcome == StreamOutcome::Complete)
            m_context.crashGuard.onCompleted(request.fingerprint, session.sentAt, Clock::now());
        else if (outcome != StreamOutcome::OutOfOrder && outcome != StreamOutcome::Malformed)
            m_starter.reportUnanswered(session, lastTarget, outcome != StreamOutcome::Interrupted);
        session.gate.endTrial(TrialEnd::Answered);
        bool failed = outcome == StreamOutcome::Malformed || (outcome == StreamOutcome::Interrupted && m_context.directory.isReady(lastTarget.id));
        if (failed)
            m_context.dispatcher.outcomes().onFailure(toString(lastTarget.endpoint), Clock::now());
        if (request.callerWatch.gone())
            outcome = StreamOutcome::CallerGone;
        session.connection->cancel();
        co_await finish(session, outcome);
        session.stream->setInterruptHandler(nullptr);
        chargeDelivered(session);
    }
    request.chargeDelivered = nullptr;
    request.callerWatch.setCancelAction(nullptr);
    m_context.streams.remove(session.id);
    m_context.placement.release(session.id);
    co_return session.result;
}

}
