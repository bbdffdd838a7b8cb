#include "relay/handoverservice.h"

#include "common/log.h"
#include "net/eventloop.h"

namespace guavaspan {

namespace {

    /// An engine serves for a few seconds at most after it announced its shutdown.
    constexpr auto maxMoveTime = Seconds(12);
    /// Interval at which a generation that cannot move yet is checked again.
    constexpr auto recheckInterval = Milliseconds(20);
    /// A query for a grant is repeated at this interval, which also keeps it from expiring at the owner.
    constexpr auto requestInterval = Milliseconds(150);
    /// Time without a response after which the pool's owner is considered unreachable and this instance
    /// grants its moves itself; most moves end earlier.
    constexpr auto ownerTimeout = Milliseconds(600);
    /// A copy over an idle link takes a few hundred ms.
    constexpr auto copyTimeout = Milliseconds(3000);
    /// A stopped generation's stream ends within a round trip; after this time its connection is considered dead.
    constexpr auto streamEndTimeout = Milliseconds(250);
    /// A generation with fewer expected remaining tokens is not moved, since the move would cost more than it saves.
    constexpr int minTokensToMove = 24;
    /// Time for which a destination that refused the generation is not tried again: some generations there end meanwhile.
    constexpr auto exclusionTime = Milliseconds(700);
    /// After this many calls without an answer a generation is not moved.
    constexpr int maxUnknownResults = 4;

}

/// Move of one generation away from an engine that shuts down.
struct HandoverService::Move {
    TargetUnavailable sourceShutdown;
    std::shared_ptr<LiveStream> stream;
    /// Destinations that refused the generation or cannot be used, and until when.
    std::map<std::string, TimePoint> excludedUntil;
    /// The last destination refused the generation for lack of memory.
    bool destinationFull = false;
    int unknownResults = 0;

    int tokensHeld() const { return stream->estimate().promptTokens + stream->outputTokens(); }
    void exclude(const std::string& destination) { excludedUntil.insert_or_assign(destination, Clock::now() + exclusionTime); }
    bool isAtSource() const { return stream->target().id == sourceShutdown.entry.id; }
};

struct HandoverService::PendingGrant {
    explicit PendingGrant(asio::io_context& io)
        : wakeUp(io)
    {
    }
    asio::steady_timer wakeUp;
    std::optional<MoveResponse> response;
};

HandoverService::HandoverService(HandoverContext context)
    : m_context(std::move(context))
{
}

void HandoverService::onTargetUnavailable(const TargetUnavailable& event)
{
    auto table = m_context.configuration.table();
    const auto* service = table ? table->service(event.entry.service) : nullptr;
    bool movable = service && service->engine && service->engine->canMove && event.reason != UnavailableReason::Restarted;
    auto streams = m_context.streams.atTarget(event.entry.id);
    logEvent(LogLevel::Info, "target_left", { { "target", event.entry.id }, { "service", event.entry.service }, { "reason", std::string(toString(event.reason)) }, { "streams", static_cast<std::int64_t>(streams.size()) }, { "movable", movable } });
    if (!movable)
        return;
    for (auto& stream : streams)
        asio::co_spawn(m_context.io, moveAway(Move { .sourceShutdown = event, .stream = std::move(stream) }), reportFailedHandler);
}

Awaitable<> HandoverService::moveAway(Move move)
{
    auto deadline = move.sourceShutdown.at + maxMoveTime;
    while (Clock::now() < deadline && m_context.streams.find(move.stream->id()) && move.isAtSource()) {
        bool movable = move.stream->eventCount() > 0 && move.stream->expectedRemainingTokens() >= minTokensToMove;
        if (!movable || move.stream->hasPendingMove()) {
            co_await sleepFor(recheckInterval);
            continue;
        }
        auto destination = co_await acquireGrant(move, deadline);
        if (!destination)
            continue;
        move.destinationFull = false;
        bool done = co_await moveTo(move, *destination);
        auto owner = m_context.placement.ownerOf(move.sourceShutdown.entry.service);
        releaseGrant(move, owner, move.destinationFull);
        if (done)
            co_return;
    }
}

void HandoverService::send(const std::string& owner, const MoveQuery& query)
{
    if (owner == m_context.instance)
        m_context.moveServer.onQuery(query);
    else
        m_context.link.send(owner, query);
}

void HandoverService::releaseGrant(const Move& move, const std::string& owner, bool destinationFull)
{
    MoveRelease release { .requester = m_context.instance, .requesterIncarnation = m_context.placement.incarnation(), .id = move.stream->id(), .destinationFull = destinationFull };
    m_context.moveServer.onRelease(release);
    if (owner != m_context.instance)
        m_context.link.send(owner, release);
}

/// Requests a move grant from the pool's owner until it names a destination.
/// Empty if the generation ended or left the source, or the deadline passed.
Awaitable<std::optional<std::string>> HandoverService::acquireGrant(const Move& move, TimePoint deadline)
{
    const auto& stream = *move.stream;
    auto pending = std::make_shared<PendingGrant>(m_context.io);
    m_pendingGrants.insert_or_assign(stream.id(), pending);
    auto lastResponseAt = Clock::now();
    std::optional<std::string> destination;
    while (!destination && Clock::now() < deadline && m_context.streams.find(stream.id()) && move.isAtSource()) {
        auto owner = m_context.placement.ownerOf(move.sourceShutdown.entry.service);
        auto excluded = m_context.targetLimits.exhaustedTargets(Clock::now());
        for (const auto& [destination, until] : move.excludedUntil) {
            if (Clock::now() < until)
                excluded.insert(destination);
        }
        MoveQuery query { .requester = m_context.instance, .requesterIncarnation = m_context.placement.incarnation(), .id = stream.id(), .service = move.sourceShutdown.entry.service, .source = move.sourceShutdown.entry.id, .sourceFailureDomain = move.sourceShutdown.entry.failureDomain, .tokensHeld = move.tokensHeld(), .remainingTokens = stream.expectedRemainingTokens(), .excluded = { excluded.begin(), excluded.end() } };
        if (move.sourceShutdown.shutdownAt)
            query.timeToShutdown = std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(*move.sourceShutdown.shutdownAt - Clock::now()));
        // If this instance is the owner, the response may arrive before send() returns.
        send(owner, query);
        bool granted = pending->response && !pending->response->destination.empty();
        if (!granted) {
            pending->wakeUp.expires_after(requestInterval);
            co_await pending->wakeUp.async_wait(asTuple);
        }
        auto response = std::exchange(pending->response, std::nullopt);
        if (response)
            lastResponseAt = Clock::now();
        if (response && !response->destination.empty())
            destination = response->destination;
        else if (lastResponseAt + ownerTimeout < Clock::now() && owner != m_context.instance)
            m_context.placement.markUnreachable(owner);
    }
    m_pendingGrants.erase(stream.id());
    co_return destination;
}

void HandoverService::onMoveResponse(const MoveResponse& response)
{
    auto found = m_pendingGrants.find(response.id);
    if (found == m_pendingGrants.end())
        return;
    found->second->response = response;
    // An empty destination means that the move is still queued.
    if (!response.destination.empty())
        found->second->wakeUp.cancel();
}

/// Copies and stops one generation. True if it needs no further attempt.
Awaitable<bool> HandoverService::moveTo(Move& move, const std::string& destinationId)
{
    std::string unusedCopy;
    bool done = co_await copyAndStop(move, destinationId, unusedCopy);
    // Frees the copy at the destination, which would hold its memory until the engine's time limit;
    // the source engine cannot free it, as it may already have shut down.
    const auto* destination = m_context.directory.find(destinationId);
    if (!unusedCopy.empty() && destination)
        co_await m_context.operations.freeCopy(destination->endpoint, unusedCopy);
    co_return done;
}

/// Sets `unusedCopy` to the handle of a copy that was made but will not be used.
Awaitable<bool> HandoverService::copyAndStop(Move& move, const std::string& destinationId, std::string& unusedCopy)
{
    const auto* destinationEntry = m_context.directory.find(destinationId);
    if (!destinationEntry || !m_context.directory.isUsable(destinationId)) {
        move.exclude(destinationId);
        co_return false;
    }
    auto destination = *destinationEntry;
    auto phase = HandoverPhase::Copy;
    while (m_context.streams.find(move.stream->id()) && move.unknownResults < maxUnknownResults) {
        // The destination may have been evacuated, or have left, while it received the copy. A generation that may have stopped
        // already is stopped again in any case, since only the answer has its handle.
        if (!move.stream->mayHaveStopped() && !m_context.directory.isIncarnationUsable(destination)) {
            move.exclude(destinationId);
            co_return false;
        }
        auto answer = co_await callSource(move, phase, destination);
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
            move.exclude(destinationId);
            move.destinationFull = true;
            co_return false;
        case HandoverResult::NoSuchRun:
        case HandoverResult::Busy:
            co_await sleepFor(recheckInterval);
            co_return false;
        case HandoverResult::Unknown:
            // The generation may have stopped; only a repeated call returns its handle.
            ++move.unknownResults;
            if (phase == HandoverPhase::Copy)
                co_return false;
            break;
        }
    }
    move.stream->onStopFailed();
    co_return true;
}

Awaitable<CopyAnswer> HandoverService::callSource(const Move& move, HandoverPhase phase, const TargetEntry& destination)
{
    auto& stream = *move.stream;
    const auto& source = move.sourceShutdown.entry;
    bool isStop = phase == HandoverPhase::Stop;
    auto startedAt = Clock::now();
    if (isStop)
        stream.onStopRequested();
    CopyOptions options { .source = source.endpoint, .requestId = stream.requestId(), .destination = destination.endpoint, .stop = isStop, .timeout = copyTimeout };
    auto answer = co_await m_context.operations.copyGeneration(options);
    bool stopped = isStop && !answer.handle.empty();
    if (stopped) {
        Continuation continuation { .issuer = source.endpoint, .handle = answer.handle };
        // A generation that stopped without a copy resumes at the source, and may be moved again.
        bool copied = answer.result == HandoverResult::Done;
        stream.onMoved({ .destination = copied ? destination : source, .continuation = continuation, .source = source });
        asio::co_spawn(m_context.io, interruptIfSilent(move.stream), reportFailedHandler);
    } else if (isStop && (answer.result == HandoverResult::NoSuchRun || answer.result == HandoverResult::Busy)) {
        stream.onStopRejected();
    } else if (isStop && answer.result != HandoverResult::Unknown) {
        stream.onStopFailed();
    }
    auto now = Clock::now();
    m_context.observer.onHandoverStep(phase, answer.result);
    logEvent(LogLevel::Info, "handover_step", { { "request", stream.requestId() }, { "phase", std::string(toString(phase)) }, { "source", source.id }, { "destination", destination.id }, { "result", std::string(toString(answer.result)) }, { "detail", answer.detail }, { "tokens", static_cast<std::int64_t>(move.tokensHeld()) }, { "since_leave_ms", std::chrono::duration_cast<Milliseconds>(now - move.sourceShutdown.at).count() }, { "took_ms", std::chrono::duration_cast<Milliseconds>(now - startedAt).count() } });
    co_return answer;
}

Awaitable<> HandoverService::interruptIfSilent(std::shared_ptr<LiveStream> stream)
{
    co_await sleepFor(streamEndTimeout);
    if (stream->hasPendingMove())
        stream->interrupt();
}

}
