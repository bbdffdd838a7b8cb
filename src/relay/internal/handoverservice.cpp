#include "relay/handoverservice.h"

#include "common/log.h"

namespace guavaspan {

namespace {

    /// Engines that announced their leave serve for seconds at most after it.
    constexpr auto longestEvacuation = Seconds(12);
    /// Pause before a generation that cannot move now is looked at again.
    constexpr auto idlePause = Milliseconds(20);
    /// An ask for a turn is repeated after this; it also tells that the turn is still wanted.
    constexpr auto askInterval = Milliseconds(150);
    /// Time without an answer after which this instance gives itself turns: most evacuations end before.
    constexpr auto ownerSilence = Milliseconds(600);
    /// A copy over free links takes a few hundred ms.
    constexpr auto callTimeout = Milliseconds(3000);
    /// A stopped run's stream ends within a round trip; after this its connection is taken for silent.
    constexpr auto streamEndPatience = Milliseconds(250);
    /// Generations with fewer tokens to go end before a move pays.
    constexpr int tokensNotWorthMoving = 24;
    /// Calls without an answer after which a generation is left where it is.
    constexpr int mostUnknown = 4;

}

/// One generation on its way out.
struct HandoverService::Move {
    TargetLeft left;
    std::shared_ptr<LiveStream> stream;
    std::set<std::string> full;
    int unknown = 0;

    int tokensHeld() const { return stream->estimate().promptTokens + stream->outputTokens(); }
    bool atSource() const { return stream->target().id == left.entry.id; }
};

struct HandoverService::PendingTurn {
    explicit PendingTurn(asio::io_context& io)
        : wakeUp(io)
    {
    }
    asio::steady_timer wakeUp;
    std::optional<MoveResponse> answer;
};

HandoverService::HandoverService(HandoverContext context)
    : m_context(std::move(context))
{
}

void HandoverService::onTargetLeft(const TargetLeft& left)
{
    auto table = m_context.gate.table();
    const auto* service = table ? table->service(left.entry.service) : nullptr;
    bool movable = service && service->engine && service->engine->canMove && left.reason != LeaveReason::Restarted;
    auto streams = m_context.streams.at(left.entry.id);
    logEvent(LogLevel::Info, "target_left", { { "target", left.entry.id }, { "service", left.entry.service }, { "reason", std::string(toString(left.reason)) }, { "streams", static_cast<std::int64_t>(streams.size()) }, { "movable", movable } });
    if (!movable)
        return;
    for (auto& stream : streams)
        asio::co_spawn(m_context.io, moveOut(Move { .left = left, .stream = std::move(stream) }), asio::detached);
}

Awaitable<> HandoverService::moveOut(Move move)
{
    auto until = move.left.at + longestEvacuation;
    while (Clock::now() < until && m_context.streams.find(move.stream->id()) && move.atSource()) {
        bool movable = move.stream->events() > 0 && move.stream->expectedRemainingTokens() >= tokensNotWorthMoving;
        if (!movable || move.stream->hasMove()) {
            co_await sleepFor(idlePause);
            continue;
        }
        auto destination = co_await takeTurn(move, until);
        if (!destination)
            continue;
        bool over = co_await moveTo(move, *destination);
        auto owner = m_context.placement.ownerOf(move.left.entry.service);
        endTurn(move, owner);
        if (over)
            co_return;
    }
}

void HandoverService::send(const std::string& owner, const MoveQuery& ask)
{
    if (owner == m_context.instance)
        m_context.turns.onAsk(ask);
    else
        m_context.link.send(owner, ask);
}

void HandoverService::endTurn(const Move& move, const std::string& owner)
{
    MoveRelease ended { .requester = m_context.instance, .requesterIncarnation = m_context.placement.incarnation(), .id = move.stream->id() };
    m_context.turns.onEnded(ended);
    if (owner != m_context.instance)
        m_context.link.send(owner, ended);
}

/// Asks the pool's owner until it gives a turn. Nothing if the generation ended meanwhile.
Awaitable<std::optional<std::string>> HandoverService::takeTurn(const Move& move, TimePoint until)
{
    const auto& stream = *move.stream;
    auto pending = std::make_shared<PendingTurn>(m_context.io);
    m_pending.insert_or_assign(stream.id(), pending);
    auto lastHeard = Clock::now();
    std::optional<std::string> destination;
    while (!destination && Clock::now() < until && m_context.streams.find(stream.id()) && move.atSource()) {
        auto owner = m_context.placement.ownerOf(move.left.entry.service);
        MoveQuery ask { .requester = m_context.instance, .requesterIncarnation = m_context.placement.incarnation(), .id = stream.id(), .service = move.left.entry.service, .source = move.left.entry.id, .sourceFailureDomain = move.left.entry.failureDomain, .tokensHeld = move.tokensHeld(), .remainingTokens = stream.expectedRemainingTokens(), .excluded = { move.full.begin(), move.full.end() } };
        // The answer may come before the send returns, where this instance is the owner.
        send(owner, ask);
        bool granted = pending->answer && !pending->answer->destination.empty();
        if (!granted) {
            pending->wakeUp.expires_after(askInterval);
            co_await pending->wakeUp.async_wait(asTuple);
        }
        auto answer = std::exchange(pending->answer, std::nullopt);
        if (answer)
            lastHeard = Clock::now();
        if (answer && !answer->destination.empty())
            destination = answer->destination;
        else if (lastHeard + ownerSilence < Clock::now() && owner != m_context.instance)
            m_context.placement.markUnreachable(owner);
    }
    m_pending.erase(stream.id());
    co_return destination;
}

void HandoverService::onAnswer(const MoveResponse& answer)
{
    auto found = m_pending.find(answer.id);
    if (found == m_pending.end())
        return;
    found->second->answer = answer;
    // Word that the ask waits ends no wait.
    if (!answer.destination.empty())
        found->second->wakeUp.cancel();
}

/// Copies and stops one generation. True if nothing more is to be done for it.
Awaitable<bool> HandoverService::moveTo(Move& move, const std::string& destinationId)
{
    std::string unusedCopy;
    bool over = co_await copyAndStop(move, destinationId, unusedCopy);
    // Its memory would stay occupied until the engine's own limit. The source may be gone by now.
    const auto* destination = m_context.directory.find(destinationId);
    if (!unusedCopy.empty() && destination)
        co_await m_context.operations.freeCopy(destination->endpoint, unusedCopy);
    co_return over;
}

/// `unusedCopy` names a copy that was made and is not taken up.
Awaitable<bool> HandoverService::copyAndStop(Move& move, const std::string& destinationId, std::string& unusedCopy)
{
    const auto* known = m_context.directory.find(destinationId);
    if (!known || !m_context.directory.isUsable(destinationId)) {
        move.full.insert(destinationId);
        co_return false;
    }
    auto destination = *known;
    auto phase = HandoverPhase::Copy;
    while (m_context.streams.find(move.stream->id()) && move.unknown < mostUnknown) {
        auto answer = co_await call(move, phase, destination);
        switch (answer.result) {
        case HandoverResult::Done:
            if (phase == HandoverPhase::Stop) {
                unusedCopy.clear();
                co_return true;
            }
            unusedCopy = answer.handle;
            phase = HandoverPhase::Stop;
            break;
        case HandoverResult::DestinationFull:
            move.full.insert(destinationId);
            co_return false;
        case HandoverResult::NoSuchRun:
        case HandoverResult::Busy:
            co_await sleepFor(idlePause);
            co_return false;
        case HandoverResult::Unknown:
            // Whether the run stopped is unknown; only a repeated call gives its handle.
            ++move.unknown;
            if (phase == HandoverPhase::Copy)
                co_return false;
            break;
        }
    }
    move.stream->stopFailed();
    co_return true;
}

Awaitable<CopyAnswer> HandoverService::call(const Move& move, HandoverPhase phase, const TargetEntry& destination)
{
    auto& stream = *move.stream;
    const auto& source = move.left.entry;
    bool stops = phase == HandoverPhase::Stop;
    auto startedAt = Clock::now();
    if (stops)
        stream.beginStop();
    CopyOptions options { .source = source.endpoint, .requestId = stream.requestId(), .destination = destination.endpoint, .stop = stops, .timeout = callTimeout };
    auto answer = co_await m_context.operations.copyRun(options);
    bool stopped = stops && !answer.handle.empty();
    if (stopped) {
        Continuation continuation { .issuer = source.endpoint, .handle = answer.handle };
        // A run that stopped without a copy goes on where it was, and may be moved again.
        bool copied = answer.result == HandoverResult::Done;
        stream.moveTo({ .destination = copied ? destination : source, .continuation = continuation, .source = source });
        asio::co_spawn(m_context.io, interruptIfSilent(move.stream), asio::detached);
    } else if (stops && answer.result != HandoverResult::Unknown) {
        stream.stopFailed();
    }
    auto now = Clock::now();
    m_context.observer.onHandoverStep(phase, answer.result);
    logEvent(LogLevel::Info, "handover_step", { { "request", stream.requestId() }, { "phase", std::string(toString(phase)) }, { "source", source.id }, { "destination", destination.id }, { "result", std::string(toString(answer.result)) }, { "detail", answer.detail }, { "tokens", static_cast<std::int64_t>(move.tokensHeld()) }, { "since_leave_ms", std::chrono::duration_cast<Milliseconds>(now - move.left.at).count() }, { "took_ms", std::chrono::duration_cast<Milliseconds>(now - startedAt).count() } });
    co_return answer;
}

Awaitable<> HandoverService::interruptIfSilent(std::shared_ptr<LiveStream> stream)
{
    co_await sleepFor(streamEndPatience);
    if (stream->hasMove())
        stream->interrupt();
}

}
