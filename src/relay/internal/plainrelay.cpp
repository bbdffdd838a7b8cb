#include "relay/plainrelay.h"

#include "common/hash.h"
#include "common/log.h"

namespace guavaspan {

namespace {

    /// Connecting within a region takes milliseconds; a lost SYN is retransmitted after a second.
    constexpr auto connectTimeout = Milliseconds(400);
    /// Maximum number of times that one request is sent, counting refused and failed connection attempts.
    constexpr int maxSends = 4;
    /// An idempotent request is retried on another target if no answer arrives within this multiple of the route's latency objective.
    constexpr int objectivesUntilRetry = 3;
    /// Minimum time to wait for a usable target, and for an answer before a retry.
    constexpr auto minWait = Milliseconds(300);
    /// A request with less time left until its deadline is not retried.
    constexpr auto minTimeForRetry = Milliseconds(40);

}

enum class AttemptOutcome {
    /// The target's answer may be delivered unchanged.
    Answered,
    /// The target answered with an error; an idempotent request may be retried.
    FailedAnswer,
    NotRun,
    Broken,
    /// The target sent bytes that are no answer, or too many.
    Malformed,
    TimedOut,
    /// The target answered, but there is no room for its answer.
    NoRoom,
    CallerGone,
};

struct PlainRelay::Attempt {
    AttemptOutcome outcome = AttemptOutcome::Broken;
    HttpResponse response;
    std::string detail;
    /// Time until the deadline, as stated to the target.
    Milliseconds timeLeft { 0 };
    TimePoint sentAt;
    /// When the target last sent a part of its answer; at least sentAt.
    TimePoint lastHeardAt;
};

namespace {

    std::string_view toString(AttemptOutcome outcome)
    {
        switch (outcome) {
        case AttemptOutcome::Answered:
            return "answered";
        case AttemptOutcome::FailedAnswer:
            return "failed_answer";
        case AttemptOutcome::NotRun:
            return "not_run";
        case AttemptOutcome::Broken:
            return "broken";
        case AttemptOutcome::Malformed:
            return "malformed";
        case AttemptOutcome::TimedOut:
            return "timed_out";
        case AttemptOutcome::NoRoom:
            return "no_room";
        case AttemptOutcome::CallerGone:
            return "caller_gone";
        }
        return "broken";
    }

    /// Statuses from which callers conclude that a request has not run.
    bool impliesNotRun(unsigned status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    AttemptOutcome outcomeOf(const Error& error)
    {
        if (error.code == ErrorCode::Timeout)
            return AttemptOutcome::TimedOut;
        if (error.code == ErrorCode::Overloaded)
            return AttemptOutcome::NoRoom;
        return error.code == ErrorCode::BadReply ? AttemptOutcome::Malformed : AttemptOutcome::Broken;
    }

    AttemptOutcome classify(const TargetResponseHead& responseHead, const std::string& requestId)
    {
        if (responseHead.notRun)
            return AttemptOutcome::NotRun;
        bool mismatched = !requestId.empty() && responseHead.requestId != requestId;
        bool success = responseHead.status >= 200 && responseHead.status < 300;
        if (mismatched || responseHead.encoded || !responseHead.sealed || impliesNotRun(responseHead.status))
            return AttemptOutcome::Broken;
        return success ? AttemptOutcome::Answered : AttemptOutcome::FailedAnswer;
    }

}

Awaitable<PlainRelay::Attempt> PlainRelay::attempt(RelayRequest& request, const Placement& placement, bool mayRetry)
{
    TargetConnection connection(m_context.io.get_executor());
    request.callerWatch.setCancelAction([&] { connection.cancel(); });
    Attempt attempt { .timeLeft = timeLeft(request), .sentAt = Clock::now(), .lastHeardAt = Clock::now() };
    connection.setTargetTime(attempt.timeLeft);
    auto message = m_context.wireFormat.buildTargetRequest(request.exchange.request(), { .target = placement.target, .organisation = request.organisation, .timeLeft = attempt.timeLeft });
    auto finish = [&](AttemptOutcome outcome, std::string detail) {
        request.callerWatch.setCancelAction(nullptr);
        if (request.cut && outcome == AttemptOutcome::Broken)
            outcome = AttemptOutcome::TimedOut;
        attempt.outcome = request.callerWatch.gone() ? AttemptOutcome::CallerGone : outcome;
        attempt.detail = std::move(detail);
        return std::move(attempt);
    };
    auto attemptConnectTimeout = std::min<Clock::duration>(connectTimeout, timeLeft(request));
    auto opened = co_await connection.open(placement.target.endpoint, std::move(message), attemptConnectTimeout);
    recordConnection(m_context, request, placement.target, bool(opened));
    if (!opened)
        co_return finish(AttemptOutcome::NotRun, describe(opened.error()));
    auto deadline = request.deadline;
    if (mayRetry)
        deadline = std::min<TimePoint>(deadline, Clock::now() + std::max<Clock::duration>(minWait, objectivesUntilRetry * request.route.latencyObjective));
    connection.setDeadline(deadline);
    auto read = co_await connection.readHeader();
    if (!read)
        co_return finish(outcomeOf(read.error()), describe(read.error()));
    attempt.lastHeardAt = Clock::now();
    auto responseHead = readResponseHead(m_context, request, placement.target, connection.header());
    recordTargetState(m_context, placement.target, responseHead);
    auto outcome = classify(responseHead, request.caller.requestId);
    if (outcome == AttemptOutcome::NotRun || outcome == AttemptOutcome::Broken)
        co_return finish(outcome, "status " + std::to_string(responseHead.status));
    auto body = co_await connection.readAll([&](std::size_t bytes) { return request.exchange.holdAnswer(bytes); });
    recordBodyEnd(m_context, request, connection, body);
    if (!body)
        co_return finish(outcomeOf(body.error()), describe(body.error()));
    attempt.response = passedOnAnswer(request.exchange.request(), connection.header(), std::move(*body));
    co_return finish(outcome, "status " + std::to_string(responseHead.status));
}

bool PlainRelay::tryTakeRetry(const RelayRequest& request, RetryCause cause)
{
    return timeLeft(request) >= minTimeForRetry && m_retryGate.tryTake(request, cause);
}

TrialEnd PlainRelay::trialEndOf(const Attempt& attempt, TimePoint now)
{
    switch (attempt.outcome) {
    case AttemptOutcome::Answered:
    case AttemptOutcome::FailedAnswer:
    case AttemptOutcome::Malformed:
    case AttemptOutcome::NotRun:
    case AttemptOutcome::NoRoom:
        return TrialEnd::Answered;
    case AttemptOutcome::Broken:
        return TrialEnd::Broken;
    case AttemptOutcome::TimedOut:
    case AttemptOutcome::CallerGone:
        return trialEndAfterSilence(now - attempt.lastHeardAt);
    }
    return TrialEnd::Answered;
}

void PlainRelay::reportToGuards(const RelayRequest& request, const TargetEntry& target, const Attempt& attempt, bool onTrial, TimePoint now)
{
    switch (attempt.outcome) {
    case AttemptOutcome::Answered:
    case AttemptOutcome::FailedAnswer:
    case AttemptOutcome::Malformed:
    case AttemptOutcome::NoRoom:
        m_context.crashGuard.onTargetAnswered(target, attempt.sentAt);
        m_context.promptGuard.onTargetAnswered(target, attempt.sentAt);
        if (attempt.outcome != AttemptOutcome::Malformed)
            m_context.promptGuard.onAnswerBegun(request.caller.sharedParts, now);
        if (attempt.outcome == AttemptOutcome::Answered)
            m_context.crashGuard.onCompleted(request.fingerprint, attempt.sentAt, now);
        return;
    case AttemptOutcome::NotRun:
        return;
    case AttemptOutcome::Broken:
    case AttemptOutcome::TimedOut:
    case AttemptOutcome::CallerGone:
        // Connections of an instance that has lost its path break without a fault of the target; only its end confirms one.
        bool pathLost = m_context.dispatcher.targetPath().isLost(target.service);
        if (attempt.outcome == AttemptOutcome::Broken && !pathLost)
            m_context.promptGuard.onInterrupted({ .parts = request.caller.sharedParts, .target = target, .sentAt = attempt.sentAt, .onTrial = onTrial }, now);
        m_context.crashGuard.onUnanswered({ .fingerprint = request.fingerprint, .target = target, .sentAt = attempt.sentAt, .lastHeardAt = attempt.lastHeardAt, .abandoned = attempt.outcome != AttemptOutcome::Broken, .pathLost = pathLost, .onTrial = onTrial }, now);
        return;
    }
}

Awaitable<RelayResult> PlainRelay::deliverAnswer(RelayRequest& request, Attempt attempt, RelayResult result)
{
    result.status = attempt.response.result_int();
    result.reason = attempt.outcome == AttemptOutcome::Answered ? "answered" : "target_failure";
    co_await request.exchange.sendResponse(std::move(attempt.response));
    if (attempt.outcome == AttemptOutcome::Answered)
        m_context.usage.charge(request.organisation, { .requests = 1 });
    co_return result;
}

Awaitable<RelayResult> PlainRelay::respondWithError(RelayRequest& request, RelayResult result, bool mayHaveRun)
{
    bool deadlinePassed = request.isDeadlineReached(Clock::now());
    if (!mayHaveRun && m_context.dispatcher.targetPath().isLost(request.service.name))
        co_return co_await m_peerRelay.run(request);
    if (!mayHaveRun) {
        result.status = 503;
        result.reason = "no_target";
        auto retryAfter = m_context.dispatcher.retryAfter(request.service.name, request.organisation, request.rank(), {});
        co_await sendRefusal(request.exchange, result.status, result.reason, retryAfter);
        co_return result;
    }
    result.status = deadlinePassed ? 504 : 502;
    result.reason = deadlinePassed ? "timeout" : "target_broke";
    if (request.endedByStop(Clock::now()))
        result.reason = reasonStopping;
    co_await sendFailure(request.exchange, result.status, result.reason);
    co_return result;
}

Awaitable<RelayResult> PlainRelay::refuse(RelayRequest& request, RelayResult result, SendRefusal refusal, bool mayHaveRun)
{
    result.reason = refusal.reason;
    result.status = mayHaveRun ? 502 : 503;
    if (mayHaveRun)
        co_await sendFailure(request.exchange, result.status, result.reason);
    else
        co_await sendRefusal(request.exchange, result.status, result.reason, refusal.retryAfter);
    co_return result;
}

Awaitable<RelayResult> PlainRelay::run(RelayRequest& request)
{
    RelayResult result;
    bool idempotent = request.route.retrySafety == RetrySafety::Idempotent;
    bool mayHaveRun = false;
    int possibleRuns = 0;
    m_retryGate.onRequest(request);
    PlacementRequest placementRequest { .service = request.service.name, .organisation = request.organisation, .rank = request.rank() };
    auto gate = makeSendGate(m_context, request);
    while (result.sends < maxSends && !m_context.dispatcher.targetPath().isLost(request.service.name)) {
        if (auto refusal = gate.refusal())
            co_return co_await refuse(request, std::move(result), *refusal, mayHaveRun);
        placementRequest.id = m_context.dispatcher.nextId();
        placementRequest.excluded = gate.excludedTargets();
        auto placementTimeout = std::max<Clock::duration>(minWait, request.route.latencyObjective);
        placementRequest.latestStart = std::min<TimePoint>(request.deadline, Clock::now() + placementTimeout);
        auto id = placementRequest.id;
        request.callerWatch.setCancelAction([this, id] { m_context.placement.cancel(id); });
        auto placement = co_await m_context.placement.place(placementRequest);
        if (request.callerWatch.gone()) {
            m_context.placement.release(id);
            result.reason = "caller_gone";
            co_return result;
        }
        if (!placement) {
            m_context.placement.release(id);
            result.detail = placement.error().detail;
            if (auto refusal = gate.evacuationRefusal())
                co_return co_await refuse(request, std::move(result), *refusal, mayHaveRun);
            break;
        }
        if (gate.needsTrial() && !co_await gate.startTrial(id, placement->target)) {
            m_context.placement.release(id);
            co_await sleepFor(SendGate::trialRetryInterval);
            continue;
        }
        if (!gate.tryClaim(placement->target)) {
            gate.endTrial(TrialEnd::Answered);
            m_context.placement.release(id);
            continue;
        }
        ++result.sends;
        result.target = placement->target.id;
        auto address = toString(placement->target.endpoint);
        bool mayRetry = idempotent && possibleRuns + 1 < request.route.maxTargets && !m_context.crashGuard.isSuspect(request.fingerprint);
        auto attempt = co_await this->attempt(request, *placement, mayRetry);
        m_context.placement.release(id);
        result.detail = attempt.detail;
        logEvent(LogLevel::Info, "attempt", { { "request", request.caller.requestId }, { "fingerprint", hexOf(request.fingerprint) }, { "target", result.target }, { "send", std::int64_t(result.sends) }, { "verdict", std::string(toString(attempt.outcome)) }, { "detail", attempt.detail }, { "time_left_ms", attempt.timeLeft.count() }, { "target_requests", std::int64_t(placement->targetRequests) }, { "score", placement->score } });
        auto now = Clock::now();
        reportToGuards(request, placement->target, attempt, gate.onTrial(), now);
        gate.endTrial(trialEndOf(attempt, now));
        switch (attempt.outcome) {
        case AttemptOutcome::CallerGone:
            result.reason = "caller_gone";
            co_return result;
        case AttemptOutcome::Answered:
            m_context.dispatcher.outcomes().onSuccess(address, now);
            m_context.dispatcher.paces().onPlainAnswer(placement->target, now - attempt.sentAt, now);
            co_return co_await deliverAnswer(request, std::move(attempt), std::move(result));
        case AttemptOutcome::NoRoom:
            // Another target's answer would need the same room.
            result.detail = "no room for the answer";
            co_return co_await respondWithError(request, std::move(result), true);
        case AttemptOutcome::FailedAnswer:
            mayHaveRun = true;
            ++possibleRuns;
            m_context.dispatcher.outcomes().onFailure(address, now);
            if (!mayRetry || !tryTakeRetry(request, RetryCause::FailedAnswer))
                co_return co_await deliverAnswer(request, std::move(attempt), std::move(result));
            break;
        case AttemptOutcome::NotRun:
            m_context.dispatcher.outcomes().onFailure(address, now);
            if (!tryTakeRetry(request, RetryCause::NotRun))
                co_return co_await respondWithError(request, std::move(result), mayHaveRun);
            break;
        case AttemptOutcome::Broken:
        case AttemptOutcome::Malformed:
        case AttemptOutcome::TimedOut:
            mayHaveRun = true;
            ++possibleRuns;
            m_context.dispatcher.outcomes().onFailure(address, now);
            if (!mayRetry || !tryTakeRetry(request, attempt.outcome == AttemptOutcome::TimedOut ? RetryCause::TimedOut : RetryCause::Broken))
                co_return co_await respondWithError(request, std::move(result), mayHaveRun);
            break;
        }
        gate.exclude(result.target);
    }
    co_return co_await respondWithError(request, std::move(result), mayHaveRun);
}

}
