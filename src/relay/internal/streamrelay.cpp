#include "relay/streamrelay.h"

#include "common/log.h"

#include <charconv>

namespace guavaspan {

namespace {

    constexpr auto connectTimeout = Milliseconds(400);
    /// Sends of one request that engines refuse or that do not connect.
    constexpr int mostSends = 3;
    /// Time that an engine needs from a request to its first event: reading a prompt of some thousand tokens.
    constexpr auto firstEventTime = Milliseconds(450);
    /// A stopped run's handle comes when its copy went over a busy link.
    constexpr auto movePatience = Milliseconds(4500);

    std::optional<std::int64_t> numberOf(const std::string& text)
    {
        std::int64_t number = 0;
        auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (failure != std::errc {} || end != text.data() + text.size() || text.empty())
            return std::nullopt;
        return number;
    }

}

/// One request's state over all engines that it meets.
struct StreamRelay::Session {
    RelayRequest& request;
    RelayResult result;
    WorkId id = 0;
    std::shared_ptr<LiveStream> stream;
    std::unique_ptr<TargetConnection> connection;
    EventFrames frames;
    bool headerSent = false;
    bool answered = false;
    bool mayHaveRun = false;
    TimePoint lastEventAt;
    /// Tokens of events that were written to the caller.
    int deliveredTokens = 0;
    std::optional<std::int64_t> lastEventNumber;
    TargetAnswer answer;
    /// Advice of whoever refused the request.
    Clock::duration retryAfter {};
};

std::string StreamRelay::wordFor(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Complete:
        return "answered";
    case Verdict::Interrupted:
        return "stream_broke";
    case Verdict::CallerGone:
        return "caller_gone";
    case Verdict::LimitReached:
        return "timeout";
    case Verdict::OutOfOrder:
        return "events_out_of_order";
    }
    return "stream_broke";
}

WorkEstimate StreamRelay::estimateOf(const RelayRequest& request) const
{
    int output = m_context.outputs.expect(request.route.name, request.caller.guessedOutputTokens, request.caller.maxOutputTokens);
    return { .promptTokens = request.caller.promptTokens, .outputTokens = output };
}

/// Sends the request to an engine and reads the head of its answer. True if it was accepted.
Awaitable<bool> StreamRelay::open(Session& session, const TargetEntry& target, std::optional<Continuation> continuation)
{
    auto& request = session.request;
    session.connection = std::make_unique<TargetConnection>(m_context.io.get_executor());
    auto* connection = session.connection.get();
    request.watch.onGone([connection] { connection->cancel(); });
    session.answer = {};
    auto message = m_context.wire.forward(request.exchange.request(), { .target = target, .organisation = request.organisation, .timeLeft = timeLeft(request), .urgency = std::min(request.priority, 9), .continuation = std::move(continuation) });
    auto connectLimit = std::min<Clock::duration>(connectTimeout, timeLeft(request));
    auto opened = co_await connection->open(target.endpoint, std::move(message), connectLimit);
    if (!opened) {
        session.result.detail = describe(opened.error());
        session.answer.notRun = true;
        co_return false;
    }
    connection->setLimit(request.limit);
    auto read = co_await connection->readHeader();
    if (!read) {
        session.mayHaveRun = true;
        session.result.detail = describe(read.error());
        co_return false;
    }
    session.answer = m_context.wire.readAnswer(connection->header());
    session.result.detail = "status " + std::to_string(session.answer.status);
    if (session.answer.notRun)
        co_return false;
    session.mayHaveRun = true;
    bool own = request.caller.requestId.empty() || session.answer.requestId == request.caller.requestId;
    bool accepted = session.answer.status == 200 && session.answer.sealed && !session.answer.encoded && own;
    if (accepted)
        session.frames = {};
    co_return accepted;
}

void StreamRelay::noteFailedBegin(const std::string& address, const TargetAnswer& answer)
{
    auto& outcomes = m_context.dispatcher.outcomes();
    if (answer.status == 0)
        outcomes.onUnreachable(address, Clock::now());
    else
        outcomes.onFailure(address, Clock::now());
}

/// Finds an engine that starts the request. False if the request is over; it may have been answered then.
Awaitable<bool> StreamRelay::begin(Session& session)
{
    auto& request = session.request;
    m_context.retries.onRequest(request.service.name, Clock::now());
    auto patience = std::max<Clock::duration>(Milliseconds(0), request.route.objective - firstEventTime);
    PlacementRequest wanted { .service = request.service.name, .engine = request.service.engine, .organisation = request.organisation, .rank = request.rank(), .estimate = estimateOf(request), .contentHash = request.caller.content, .latestStart = std::min<TimePoint>(request.limit, request.arrivedAt + patience) };
    while (session.result.sends < mostSends) {
        session.id = m_context.dispatcher.nextId();
        wanted.id = session.id;
        auto id = session.id;
        request.watch.onGone([this, id] { m_context.placement.cancel(id); });
        auto placement = co_await m_context.placement.place(wanted);
        if (request.watch.gone() || !placement) {
            session.result.detail = placement ? "" : placement.error().detail;
            if (!placement)
                session.retryAfter = placement.error().retryAfter;
            co_return false;
        }
        m_context.metrics.waited(std::chrono::duration<double>(placement->waited).count());
        ++session.result.sends;
        session.result.waited += placement->waited;
        session.result.target = placement->target.id;
        auto target = placement->target;
        auto address = toString(target.endpoint);
        session.stream = std::make_shared<LiveStream>(m_context.io, session.id, request.caller.requestId, target, wanted.estimate);
        m_context.streams.add(session.stream);
        bool accepted = co_await open(session, target, std::nullopt);
        logEvent(LogLevel::Info, "attempt", { { "request", request.caller.requestId }, { "target", target.id }, { "send", std::int64_t(session.result.sends) }, { "accepted", accepted }, { "detail", session.result.detail }, { "waited_ms", std::chrono::duration_cast<Milliseconds>(placement->waited).count() }, { "target_requests", std::int64_t(placement->targetRequests) }, { "target_tokens", placement->targetTokens }, { "decider", std::string(toString(placement->decider)) }, { "own_tokens", std::int64_t(wanted.estimate.totalTokens()) }, { "output_bound", std::int64_t(request.caller.maxOutputTokens) }, { "guessed_tokens", std::int64_t(request.caller.guessedOutputTokens.value_or(0)) }, { "late", placement->late }, { "caller_time_ms", request.caller.timeLeft.value_or(Milliseconds(0)).count() }, { "configuration", request.table->version() } });
        if (accepted) {
            m_context.dispatcher.outcomes().onSuccess(address, Clock::now());
            co_return true;
        }
        m_context.streams.remove(session.id);
        if (!request.watch.gone())
            noteFailedBegin(address, session.answer);
        if (session.mayHaveRun && session.answer.status == 0 && !request.watch.gone())
            m_context.crashes.onBrokenOff(request.caller.content, target, Clock::now());
        if (request.watch.gone() || !session.answer.notRun)
            co_return false;
        m_context.placement.ended(session.id);
        session.id = 0;
        wanted.excluded.insert(target.id);
        bool allowed = m_context.retries.take(request.service.name, m_context.fleet.instanceCount(), Clock::now());
        m_context.metrics.retried(request.service.name, allowed);
        if (!allowed)
            co_return false;
    }
    co_return false;
}

Awaitable<StreamRelay::Verdict> StreamRelay::forwardFrames(Session& session)
{
    std::string bytes;
    int newTokens = 0;
    int tokens = session.request.service.engine ? session.request.service.engine->tokensPerEvent : 1;
    while (auto frame = session.frames.next()) {
        auto number = numberOf(frame->id);
        if (number && session.lastEventNumber) {
            // An engine that takes up a run may begin with events that the caller has.
            if (*number <= *session.lastEventNumber)
                continue;
            if (*number != *session.lastEventNumber + 1)
                co_return Verdict::OutOfOrder;
        }
        if (number)
            session.lastEventNumber = number;
        session.stream->onEvent(frame->id, tokens);
        bytes += frame->bytes;
        newTokens += tokens;
    }
    if (bytes.empty())
        co_return Verdict::Complete;
    auto now = Clock::now();
    if (!session.headerSent) {
        auto header = withoutHopHeaders(session.connection->header());
        http::response<http::empty_body> head { std::move(header.base()) };
        session.headerSent = true;
        session.result.firstEventAfter = now - session.request.arrivedAt;
        m_context.metrics.firstEvent(session.request.route.name, secondsBetween(session.request.arrivedAt, now));
        auto begun = co_await session.request.exchange.beginResponse(std::move(head));
        if (!begun)
            co_return Verdict::CallerGone;
    } else {
        session.result.longestPause = std::max<Clock::duration>(session.result.longestPause, now - session.lastEventAt);
        m_context.metrics.pauseSeen(secondsBetween(session.lastEventAt, now));
    }
    session.lastEventAt = now;
    m_context.dispatcher.produced(session.id, session.stream->outputTokens());
    auto written = co_await session.request.exchange.writeEvents(std::move(bytes));
    if (!written)
        co_return Verdict::CallerGone;
    session.deliveredTokens += newTokens;
    co_return Verdict::Complete;
}

/// Forwards one engine's events until its stream ends.
Awaitable<StreamRelay::Verdict> StreamRelay::relayEvents(Session& session)
{
    auto& watch = session.request.watch;
    auto* connection = session.connection.get();
    session.stream->onInterrupt([connection] { connection->cancel(); });
    while (true) {
        auto part = co_await connection->readSome();
        if (watch.gone())
            co_return Verdict::CallerGone;
        if (!part)
            co_return part.error().code == ErrorCode::Timeout ? Verdict::LimitReached : Verdict::Interrupted;
        if (part->empty())
            break;
        session.frames.feed(*part);
        auto forwarded = co_await forwardFrames(session);
        if (forwarded != Verdict::Complete)
            co_return forwarded;
    }
    // An engine that leaves may close a stream whose length nobody told before its end.
    bool endUnsure = connection->endsWithConnection() && !m_context.directory.isUsable(session.stream->target().id);
    bool cut = session.frames.hasPartialFrame() || session.stream->hasMove() || session.stream->isStopping() || endUnsure;
    co_return cut ? Verdict::Interrupted : Verdict::Complete;
}

/// Takes the run up where its copy lies, or where it stopped. False if it is lost.
Awaitable<bool> StreamRelay::resume(Session& session)
{
    auto brokeAt = Clock::now();
    session.stream->onInterrupt(nullptr);
    auto move = co_await session.stream->takeMove(movePatience);
    if (!move || session.request.watch.gone())
        co_return false;
    auto continuation = move->continuation;
    continuation.lastEventId = session.stream->lastEventId();
    auto log = [&](const TargetEntry& target, bool accepted) {
        m_context.metrics.streamResumed(accepted ? "resumed" : "refused");
        logEvent(LogLevel::Info, "stream_moved", { { "request", session.request.caller.requestId }, { "source", move->source.id }, { "destination", target.id }, { "last_event", continuation.lastEventId }, { "accepted", accepted }, { "detail", session.result.detail }, { "silent_ms", std::chrono::duration_cast<Milliseconds>(Clock::now() - brokeAt).count() } });
    };
    session.stream->setTarget(move->destination);
    m_context.placement.moved(session.id, move->destination.id);
    bool accepted = co_await open(session, move->destination, continuation);
    log(move->destination, accepted);
    bool mayTrySource = !accepted && session.answer.notRun && move->destination.id != move->source.id && !session.request.watch.gone();
    if (mayTrySource) {
        session.stream->setTarget(move->source);
        m_context.placement.moved(session.id, move->source.id);
        accepted = co_await open(session, move->source, continuation);
        log(move->source, accepted);
    }
    session.result.target = session.stream->target().id;
    ++session.result.moves;
    co_return accepted;
}

Awaitable<> StreamRelay::refuseUnstarted(Session& session)
{
    auto& request = session.request;
    auto& result = session.result;
    if (request.watch.gone()) {
        result.reason = "caller_gone";
        co_return;
    }
    if (!session.mayHaveRun) {
        result.status = 503;
        result.reason = "no_room";
        auto retryAfter = std::max(session.retryAfter, m_context.dispatcher.retryAfter(request.service.name, request.organisation, request.rank(), estimateOf(request)));
        co_await refuse(request.exchange, result.status, result.reason, retryAfter);
        co_return;
    }
    bool own = session.answer.requestId == request.caller.requestId;
    bool promise = session.answer.status == 408 || session.answer.status == 429 || session.answer.status == 503;
    bool targetsFailure = session.answer.status >= 300 && own && session.answer.sealed && !promise;
    if (targetsFailure) {
        auto body = co_await session.connection->readWhole();
        if (body) {
            auto response = withoutHopHeaders(session.connection->header());
            response.body() = std::move(*body);
            result.status = session.answer.status;
            result.reason = "target_failure";
            co_await request.exchange.sendResponse(std::move(response));
            co_return;
        }
    }
    bool late = Clock::now() >= request.limit;
    result.status = late ? 504 : 502;
    result.reason = late ? "timeout" : "target_broke";
    co_await fail(request.exchange, result.status, result.reason);
}

Awaitable<> StreamRelay::finish(Session& session, Verdict verdict)
{
    auto& exchange = session.request.exchange;
    session.result.reason = wordFor(verdict);
    session.result.events = session.stream->events();
    if (verdict == Verdict::Complete && session.headerSent) {
        session.result.status = 200;
        m_context.outputs.observe(session.request.route.name, session.request.caller.guessedOutputTokens, session.stream->outputTokens());
        co_await exchange.endEvents();
        co_return;
    }
    if (verdict == Verdict::CallerGone)
        co_return;
    if (session.headerSent) {
        // Without its last chunk the answer does not look complete.
        exchange.abort();
        co_return;
    }
    session.result.status = verdict == Verdict::LimitReached ? 504 : 502;
    co_await fail(exchange, session.result.status, session.result.reason);
}

Awaitable<RelayResult> StreamRelay::run(RelayRequest& request)
{
    Session session { .request = request };
    bool begun = co_await begin(session);
    if (!begun) {
        co_await refuseUnstarted(session);
    } else {
        auto verdict = co_await relayEvents(session);
        while (verdict == Verdict::Interrupted && co_await resume(session))
            verdict = co_await relayEvents(session);
        const auto& last = session.stream->target();
        if (verdict == Verdict::Interrupted)
            m_context.crashes.onBrokenOff(request.caller.content, last, Clock::now());
        if (verdict == Verdict::Complete)
            m_context.crashes.onCompleted(request.caller.content, Clock::now());
        if (verdict == Verdict::Interrupted && m_context.directory.isUsable(last.id))
            m_context.dispatcher.outcomes().onFailure(toString(last.endpoint), Clock::now());
        if (request.watch.gone())
            verdict = Verdict::CallerGone;
        session.connection->cancel();
        co_await finish(session, verdict);
        session.stream->onInterrupt(nullptr);
        // What was delivered is charged once, however often the generation moved.
        if (session.headerSent)
            m_context.usage.charge(request.organisation, { .promptTokens = request.caller.promptTokens, .outputTokens = session.deliveredTokens, .requests = 1 });
    }
    request.watch.onGone(nullptr);
    m_context.streams.remove(session.id);
    m_context.placement.ended(session.id);
    co_return session.result;
}

}
