#include "relay/generationstarter.h"

#include "common/hash.h"
#include "common/log.h"

namespace guavaspan {

namespace {

    /// Shorter waits are the round trip to the pool's owner.
    constexpr auto minWait = Milliseconds(100);
    constexpr auto connectTimeout = Milliseconds(400);
    /// Maximum number of times that one request is sent, counting refused and failed connection attempts.
    constexpr int maxSends = 3;
    /// Time that an engine needs from a request to its first event, to process a prompt of some thousand tokens.
    constexpr auto timeToFirstEvent = Milliseconds(450);

}

WorkEstimate GenerationStarter::estimateOf(const RelayRequest& request) const
{
    int output = m_context.outputEstimator.expectedTokens(request.route.name, request.caller.guessedOutputTokens, request.caller.maxOutputTokens);
    return { .promptTokens = request.caller.promptTokens, .outputTokens = output };
}

Awaitable<bool> GenerationStarter::open(GenerationSession& session, const TargetEntry& target, std::optional<Continuation> continuation)
{
    auto& request = session.request;
    session.connection = std::make_unique<TargetConnection>(m_context.io.get_executor());
    auto* connection = session.connection.get();
    request.callerWatch.setCancelAction([connection] { connection->cancel(); });
    session.responseHead = {};
    session.malformed = false;
    session.timeLeft = timeLeft(request);
    connection->setTargetTime(session.timeLeft);
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
    if (accepted) {
        session.frames = {};
        session.pacedEvents = 0;
        session.pacedTime = {};
        session.pacedBesidePrompts = false;
        session.pacedSince.reset();
    }
    co_return accepted;
}

void GenerationStarter::recordStartFailure(const std::string& address, const GenerationSession& session)
{
    auto& outcomes = m_context.dispatcher.outcomes();
    if (session.responseHead.status == 0 && !session.malformed)
        outcomes.onUnreachable(address, Clock::now());
    else
        outcomes.onFailure(address, Clock::now());
}

void GenerationStarter::onHeard(GenerationSession& session, const TargetEntry& target)
{
    session.lastHeardAt = Clock::now();
    m_context.crashGuard.onTargetAnswered(target, session.sentAt);
    m_context.promptGuard.onTargetAnswered(target, session.sentAt);
}

void GenerationStarter::reportUnanswered(GenerationSession& session, const TargetEntry& target, bool abandoned)
{
    // Connections of an instance that has lost its path break without a fault of the target; only its end confirms one.
    bool pathLost = m_context.dispatcher.targetPath().isLost(target.service);
    bool interrupted = !abandoned && !pathLost && !session.headerSent && !session.stream->isStopping();
    if (interrupted)
        m_context.promptGuard.onInterrupted({ .parts = session.request.caller.sharedParts, .target = target, .sentAt = session.sentAt, .onTrial = session.gate.onTrial() }, Clock::now());
    m_context.crashGuard.onUnanswered({ .fingerprint = session.request.fingerprint, .target = target, .sentAt = session.sentAt, .lastHeardAt = session.lastHeardAt, .abandoned = abandoned, .pathLost = pathLost, .onTrial = session.gate.onTrial() }, Clock::now());
    session.gate.endTrial(abandoned ? trialEndAfterSilence(Clock::now() - session.lastHeardAt) : TrialEnd::Broken);
}

Awaitable<bool> GenerationStarter::start(GenerationSession& session)
{
    auto& request = session.request;
    m_retryGate.onRequest(request);
    auto startTimeout = std::max<Clock::duration>(Milliseconds(0), request.route.latencyObjective - timeToFirstEvent);
    PlacementRequest placementRequest { .service = request.service.name, .engine = request.service.engine, .organisation = request.organisation, .rank = request.rank(), .estimate = estimateOf(request), .contentHash = request.caller.contentHash, .eventGapObjective = request.route.eventGapObjective, .promptParts = leadingParts(request.caller.sharedParts, request.caller.sharedPartTokens), .latestStart = std::min<TimePoint>(request.deadline, request.arrivedAt + startTimeout) };
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
            if (!placement) {
                session.retryAfter = placement.error().retryAfter;
                session.refusal = gate.evacuationRefusal();
                if (placement.error().cause == RefusalCause::NoRoom)
                    m_context.metrics.recordAdmission(request.route.name, request.organisation, "refused");
            }
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
        if (session.result.sends == 0)
            m_context.metrics.recordAdmission(request.route.name, request.organisation, placement->waited >= minWait ? "waited" : "at_once");
        ++session.result.sends;
        session.result.waitTime += placement->waited;
        session.result.target = placement->target.id;
        auto target = placement->target;
        auto address = toString(target.endpoint);
        session.stream = std::make_shared<LiveStream>(m_context.io, session.id, request.caller.requestId, target, placementRequest.estimate);
        m_context.streams.add(session.stream);
        session.requestsBeside = placement->targetRequests;
        session.awaitsPrompt = true;
        bool accepted = co_await open(session, target, std::nullopt);
        logEvent(LogLevel::Info, "attempt", { { "request", request.caller.requestId }, { "fingerprint", hexOf(request.fingerprint) }, { "prompt_parts", describe(request.caller.sharedParts) }, { "target", target.id }, { "send", std::int64_t(session.result.sends) }, { "accepted", accepted }, { "detail", session.result.detail }, { "waited_ms", std::chrono::duration_cast<Milliseconds>(placement->waited).count() }, { "target_requests", std::int64_t(placement->targetRequests) }, { "target_tokens", placement->targetTokens }, { "expected_first_ms", std::int64_t(placement->time ? placement->time->toFirstEventMs : 0) }, { "expected_end_ms", std::int64_t(placement->time ? placement->time->toEndMs : 0) }, { "decider", std::string(toString(placement->decider)) }, { "own_tokens", std::int64_t(placementRequest.estimate.totalTokens()) }, { "output_bound", std::int64_t(request.caller.maxOutputTokens) }, { "guessed_tokens", std::int64_t(request.caller.guessedOutputTokens.value_or(0)) }, { "late", placement->late }, { "time_left_ms", session.timeLeft.count() }, { "caller_time_ms", request.caller.timeLeft.value_or(Milliseconds(0)).count() }, { "configuration", request.table->version() } });
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

}
