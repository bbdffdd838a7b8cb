#include "relay/handoverservice.h"

#include "common/hash.h"
#include "common/log.h"

namespace guavaspan {

namespace {

    /// Engines that announced their leave serve for seconds at most after it.
    constexpr auto longestEvacuation = Seconds(12);
    /// Pause while nothing can be moved now.
    constexpr auto idlePause = Milliseconds(15);
    /// A copy that waits behind others on both links takes seconds at most.
    constexpr auto callTimeout = Milliseconds(4000);
    /// A stopped run's stream ends within a round trip; after this its connection is taken for silent.
    constexpr auto streamEndPatience = Milliseconds(250);

    double tokensOf(const LiveStream& stream)
    {
        return stream.estimate().promptTokens + stream.outputTokens();
    }

}

Clock::duration copyTime(const EngineTraits& engine, double tokens)
{
    if (engine.linkMegabitsPerSecond <= 0)
        return {};
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMegabit = 1e6;
    return fromSeconds(tokens * static_cast<double>(engine.bytesPerToken) * bitsPerByte / (engine.linkMegabitsPerSecond * bitsPerMegabit));
}

HandoverService::HandoverService(asio::io_context& io, Dispatcher& dispatcher, LiveStreams& streams, ConfigurationGate& gate, TargetDirectory& directory, ITargetOperations& operations, IHandoverObserver& observer, std::string instance)
    : m_io(io)
    , m_dispatcher(dispatcher)
    , m_streams(streams)
    , m_gate(gate)
    , m_directory(directory)
    , m_operations(operations)
    , m_observer(observer)
    , m_instance(std::move(instance))
{
}

void HandoverService::onTargetLeft(const TargetLeft& left)
{
    auto table = m_gate.table();
    const auto* service = table ? table->service(left.entry.service) : nullptr;
    bool movable = service && service->engine && service->engine->canMove && left.reason != LeaveReason::Restarted;
    auto streams = m_streams.at(left.entry.id);
    logEvent(LogLevel::Info, "target_left", { { "target", left.entry.id }, { "service", left.entry.service }, { "reason", std::string(toString(left.reason)) }, { "streams", static_cast<std::int64_t>(streams.size()) }, { "movable", movable } });
    if (movable && !streams.empty())
        asio::co_spawn(m_io, evacuate(left, *service->engine), asio::detached);
}

/// Instances take turns at the engine's link in an order that all of them work out
/// alike, each for the time that those before it need for their runs.
Clock::duration HandoverService::startDelay(const std::string& target, const EngineTraits& engine) const
{
    auto own = rendezvousWeight(m_instance, target);
    double tokensAhead = 0;
    for (const auto& [instance, loads] : m_dispatcher.ledger().peers()) {
        auto found = loads.find(target);
        if (found != loads.end() && rendezvousWeight(instance, target) > own)
            tokensAhead += found->second.tokens;
    }
    return copyTime(engine, tokensAhead);
}

Awaitable<> HandoverService::evacuate(TargetLeft left, EngineTraits engine)
{
    HandoverPlanner planner(left.at + startDelay(left.entry.id, engine));
    auto until = left.at + longestEvacuation;
    while (Clock::now() < until) {
        auto streams = m_streams.at(left.entry.id);
        if (streams.empty())
            co_return;
        std::vector<HandoverRun> runs;
        for (const auto& stream : streams)
            runs.push_back({ .id = stream->id(), .tokensHeld = static_cast<int>(tokensOf(*stream)), .expectedRemainingTokens = stream->expectedRemainingTokens(), .begun = stream->events() > 0 });
        auto chooser = [&](const HandoverRun& run, const std::set<std::string>& excluded) -> std::optional<std::string> {
            WorkEstimate estimate { .promptTokens = run.tokensHeld, .outputTokens = run.expectedRemainingTokens };
            return m_dispatcher.chooseDestination(left.entry, engine, estimate, excluded);
        };
        auto step = planner.nextStep(runs, chooser, Clock::now());
        if (!step) {
            co_await sleepFor(idlePause);
            continue;
        }
        auto result = co_await perform(*step, left, engine);
        m_observer.onHandoverStep(step->phase, result);
        planner.onStepEnded(*step, result, Clock::now());
    }
}

Awaitable<HandoverResult> HandoverService::perform(const HandoverStep& step, const TargetLeft& left, const EngineTraits&)
{
    auto stream = m_streams.find(step.run);
    const auto* destination = m_directory.find(step.destination);
    if (!stream)
        co_return HandoverResult::NoSuchRun;
    if (!destination || !m_directory.isUsable(step.destination))
        co_return HandoverResult::DestinationFull;
    auto entry = *destination;
    auto startedAt = Clock::now();
    HandoverResult result {};
    if (step.phase == HandoverPhase::Copy)
        result = co_await copy(stream, entry, left);
    else
        result = co_await stop(stream, entry, left);
    logEvent(LogLevel::Info, "handover_step", { { "request", stream->requestId() }, { "phase", std::string(toString(step.phase)) }, { "source", left.entry.id }, { "destination", step.destination }, { "result", std::string(toString(result)) }, { "tokens", static_cast<std::int64_t>(tokensOf(*stream)) }, { "since_leave_ms", std::chrono::duration_cast<Milliseconds>(Clock::now() - left.at).count() }, { "took_ms", std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt).count() } });
    co_return result;
}

Awaitable<HandoverResult> HandoverService::copy(std::shared_ptr<LiveStream> stream, const TargetEntry& destination, const TargetLeft& left)
{
    auto reservation = m_dispatcher.nextId();
    m_dispatcher.reserve(reservation, destination.id, { .promptTokens = 0, .outputTokens = static_cast<int>(tokensOf(*stream)) });
    CopyOptions options { .source = left.entry.endpoint, .requestId = stream->requestId(), .destination = destination.endpoint, .timeout = callTimeout };
    auto answer = co_await m_operations.copyRun(options);
    m_dispatcher.ended(reservation);
    co_return answer.result;
}

Awaitable<HandoverResult> HandoverService::stop(std::shared_ptr<LiveStream> stream, const TargetEntry& destination, const TargetLeft& left)
{
    stream->beginStop();
    CopyOptions options { .source = left.entry.endpoint, .requestId = stream->requestId(), .destination = destination.endpoint, .stop = true, .timeout = callTimeout };
    auto answer = co_await m_operations.copyRun(options);
    if (answer.handle.empty()) {
        // Without an answer the run may have stopped; the call is made again, and the relay waits for its outcome.
        if (answer.result != HandoverResult::Unknown)
            stream->stopFailed();
        co_return answer.result;
    }
    Continuation continuation { .issuer = left.entry.endpoint, .handle = answer.handle };
    bool copied = answer.result == HandoverResult::Done;
    // A run that stopped without a copy goes on where it was, and may be moved again.
    stream->moveTo({ .destination = copied ? destination : left.entry, .continuation = continuation, .source = left.entry });
    asio::co_spawn(m_io, interruptIfSilent(stream), asio::detached);
    co_return answer.result;
}

Awaitable<> HandoverService::interruptIfSilent(std::shared_ptr<LiveStream> stream)
{
    co_await sleepFor(streamEndPatience);
    if (stream->hasMove())
        stream->interrupt();
}

}
