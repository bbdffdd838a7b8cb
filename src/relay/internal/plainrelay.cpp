#include "relay/plainrelay.h"

#include "common/log.h"

namespace guavaspan {

namespace {

    /// Connecting within a region takes milliseconds; a dropped first packet is sent again after a second.
    constexpr auto connectTimeout = Milliseconds(400);
    /// Sends of one request that targets refuse or that do not connect.
    constexpr int mostSends = 4;
    /// An idempotent request is tried elsewhere after so many times its objective.
    constexpr int objectivesUntilRepeat = 3;
    /// Wait for a target while none is known, at least.
    constexpr auto shortestPatience = Milliseconds(300);
    /// A repeat needs some time to be of use.
    constexpr auto leastTimeForRepeat = Milliseconds(40);

}

enum class AttemptVerdict {
    /// An answer of the target that may be delivered as it is.
    Answered,
    /// The target's own failure; an idempotent request may be repeated.
    FailedAnswer,
    NotRun,
    Broken,
    TimedOut,
    CallerGone,
};

struct PlainRelay::Attempt {
    AttemptVerdict verdict = AttemptVerdict::Broken;
    HttpResponse response;
    std::string detail;
};

namespace {

    std::string_view toString(AttemptVerdict verdict)
    {
        switch (verdict) {
        case AttemptVerdict::Answered:
            return "answered";
        case AttemptVerdict::FailedAnswer:
            return "failed_answer";
        case AttemptVerdict::NotRun:
            return "not_run";
        case AttemptVerdict::Broken:
            return "broken";
        case AttemptVerdict::TimedOut:
            return "timed_out";
        case AttemptVerdict::CallerGone:
            return "caller_gone";
        }
        return "broken";
    }

    /// Statuses by which callers understand that a request has not run.
    bool promisesNotRun(unsigned status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    AttemptVerdict judge(const TargetAnswer& answer, const std::string& requestId)
    {
        if (answer.notRun)
            return AttemptVerdict::NotRun;
        bool crossed = !requestId.empty() && answer.requestId != requestId;
        bool success = answer.status >= 200 && answer.status < 300;
        if (crossed || answer.encoded || !answer.sealed || promisesNotRun(answer.status))
            return AttemptVerdict::Broken;
        return success ? AttemptVerdict::Answered : AttemptVerdict::FailedAnswer;
    }

}

Awaitable<PlainRelay::Attempt> PlainRelay::attempt(RelayRequest& request, const Placement& placement, bool mayRepeat)
{
    TargetConnection connection(m_context.io.get_executor());
    request.watch.onGone([&] { connection.cancel(); });
    auto message = m_context.wire.forward(request.exchange.request(), { .target = placement.target, .organisation = request.organisation, .timeLeft = timeLeft(request) });
    Attempt attempt;
    auto finish = [&](AttemptVerdict verdict, std::string detail) {
        request.watch.onGone(nullptr);
        attempt.verdict = request.watch.gone() ? AttemptVerdict::CallerGone : verdict;
        attempt.detail = std::move(detail);
        return attempt;
    };
    auto connectLimit = std::min<Clock::duration>(connectTimeout, timeLeft(request));
    auto opened = co_await connection.open(placement.target.endpoint, std::move(message), connectLimit);
    if (!opened)
        co_return finish(AttemptVerdict::NotRun, describe(opened.error()));
    auto limit = request.limit;
    if (mayRepeat)
        limit = std::min<TimePoint>(limit, Clock::now() + std::max<Clock::duration>(shortestPatience, objectivesUntilRepeat * request.route.objective));
    connection.setLimit(limit);
    auto read = co_await connection.readHeader();
    if (!read)
        co_return finish(read.error().code == ErrorCode::Timeout ? AttemptVerdict::TimedOut : AttemptVerdict::Broken, describe(read.error()));
    auto answer = m_context.wire.readAnswer(connection.header());
    auto verdict = judge(answer, request.caller.requestId);
    if (verdict == AttemptVerdict::NotRun || verdict == AttemptVerdict::Broken)
        co_return finish(verdict, "status " + std::to_string(answer.status));
    auto body = co_await connection.readWhole();
    if (!body)
        co_return finish(body.error().code == ErrorCode::Timeout ? AttemptVerdict::TimedOut : AttemptVerdict::Broken, describe(body.error()));
    attempt.response = withoutHopHeaders(connection.header());
    attempt.response.body() = std::move(*body);
    co_return finish(verdict, "status " + std::to_string(answer.status));
}

bool PlainRelay::takeRepeat(const RelayRequest& request)
{
    bool allowed = timeLeft(request) >= leastTimeForRepeat && m_context.retries.take(request.service.name, m_context.fleet.instanceCount(), Clock::now());
    m_context.metrics.retried(request.service.name, allowed);
    return allowed;
}

Awaitable<RelayResult> PlainRelay::deliver(RelayRequest& request, Attempt attempt, RelayResult result)
{
    result.status = attempt.response.result_int();
    result.reason = attempt.verdict == AttemptVerdict::Answered ? "answered" : "target_failure";
    co_await request.exchange.sendResponse(std::move(attempt.response));
    if (attempt.verdict == AttemptVerdict::Answered)
        m_context.usage.charge(request.organisation, { .requests = 1 });
    co_return result;
}

Awaitable<RelayResult> PlainRelay::giveUp(RelayRequest& request, RelayResult result, bool mayHaveRun)
{
    bool late = Clock::now() >= request.limit;
    if (!mayHaveRun) {
        result.status = 503;
        result.reason = "no_target";
        auto retryAfter = m_context.dispatcher.retryAfter(request.service.name, request.organisation, request.rank(), {});
        co_await refuse(request.exchange, result.status, result.reason, retryAfter);
        co_return result;
    }
    result.status = late ? 504 : 502;
    result.reason = late ? "timeout" : "target_broke";
    co_await fail(request.exchange, result.status, result.reason);
    co_return result;
}

Awaitable<RelayResult> PlainRelay::run(RelayRequest& request)
{
    RelayResult result;
    bool idempotent = request.route.repetition == Repetition::Idempotent;
    bool mayHaveRun = false;
    int runs = 0;
    m_context.retries.onRequest(request.service.name, Clock::now());
    PlacementRequest wanted { .service = request.service.name, .organisation = request.organisation, .rank = request.rank() };
    while (result.sends < mostSends) {
        wanted.id = m_context.dispatcher.nextId();
        auto patience = std::max<Clock::duration>(shortestPatience, request.route.objective);
        wanted.latestStart = std::min<TimePoint>(request.limit, Clock::now() + patience);
        auto id = wanted.id;
        request.watch.onGone([this, id] { m_context.placement.cancel(id); });
        auto placement = co_await m_context.placement.place(wanted);
        if (request.watch.gone()) {
            m_context.placement.ended(id);
            result.reason = "caller_gone";
            co_return result;
        }
        if (!placement) {
            m_context.placement.ended(id);
            result.detail = placement.error().detail;
            break;
        }
        ++result.sends;
        result.target = placement->target.id;
        auto address = toString(placement->target.endpoint);
        bool mayRepeat = idempotent && runs + 1 < request.route.maxTargets;
        auto attempt = co_await this->attempt(request, *placement, mayRepeat);
        m_context.placement.ended(id);
        result.detail = attempt.detail;
        logEvent(LogLevel::Info, "attempt", { { "request", request.caller.requestId }, { "target", result.target }, { "send", std::int64_t(result.sends) }, { "verdict", std::string(toString(attempt.verdict)) }, { "detail", attempt.detail }, { "target_requests", std::int64_t(placement->targetRequests) }, { "score", placement->score } });
        auto now = Clock::now();
        switch (attempt.verdict) {
        case AttemptVerdict::CallerGone:
            result.reason = "caller_gone";
            co_return result;
        case AttemptVerdict::Answered:
            m_context.dispatcher.outcomes().onSuccess(address, now);
            m_context.crashes.onCompleted(request.caller.content, now);
            co_return co_await deliver(request, std::move(attempt), std::move(result));
        case AttemptVerdict::FailedAnswer:
            mayHaveRun = true;
            ++runs;
            m_context.dispatcher.outcomes().onFailure(address, now);
            if (!mayRepeat || !takeRepeat(request))
                co_return co_await deliver(request, std::move(attempt), std::move(result));
            break;
        case AttemptVerdict::NotRun:
            m_context.dispatcher.outcomes().onFailure(address, now);
            if (!takeRepeat(request))
                co_return co_await giveUp(request, std::move(result), mayHaveRun);
            break;
        case AttemptVerdict::Broken:
        case AttemptVerdict::TimedOut:
            if (attempt.verdict == AttemptVerdict::Broken)
                m_context.crashes.onBrokenOff(request.caller.content, placement->target, now);
            mayHaveRun = true;
            ++runs;
            m_context.dispatcher.outcomes().onFailure(address, now);
            if (!mayRepeat || !takeRepeat(request))
                co_return co_await giveUp(request, std::move(result), mayHaveRun);
            break;
        }
        wanted.excluded.insert(result.target);
    }
    co_return co_await giveUp(request, std::move(result), mayHaveRun);
}

}
