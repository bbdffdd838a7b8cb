#include "net/tests/runcoroutine.h"
#include "relay/engineshutdownpoller.h"
#include "relay/handoverservice.h"
#include "relay/tests/scriptedoperations.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

class CountingObserver : public IHandoverObserver {
public:
    void onHandoverStep(HandoverPhase, HandoverResult) override { ++steps; }
    int steps = 0;
};

/// An instance that owns its pool, with one stream at engine-0, which can announce its shutdown.
struct HandoverFixture {
    asio::io_context io;
    TargetDirectory directory;
    ActiveConfiguration configuration { Seconds(4) };
    FleetView fleet { "self", 1000 };
    Dispatcher dispatcher { io, directory, "north", Random(3) };
    FleetLink link { io, fleet };
    TargetLimits targetLimits { "self" };
    OutputEstimator outputEstimator;
    PlacementClient placement { io, "self", fleet, dispatcher, directory, targetLimits, outputEstimator, link };
    MoveServer moveServer { "self", dispatcher, configuration, link };
    LiveStreams streams;
    ScriptedOperations operations;
    CountingObserver observer;
    HandoverService handoverService { { .io = io, .instance = "self", .placement = placement, .moveServer = moveServer, .link = link, .streams = streams, .configuration = configuration, .directory = directory, .targetLimits = targetLimits, .operations = operations, .observer = observer } };
    std::shared_ptr<LiveStream> stream;

    explicit HandoverFixture(int destinations)
    {
        configuration.adopt({ .version = 1, .services = { { .name = "writer", .engine = EngineTraits { .slots = 4, .memoryTokens = 20000, .canMove = true } } } });
        for (int i = 0; i <= destinations; ++i)
            directory.onEntryWritten("engine-" + std::to_string(i), entry(i), Clock::now());
        moveServer.setLocalResponseListener([this](const MoveResponse& response) { handoverService.onMoveResponse(response); });
        directory.setUnavailableListener([this](const TargetUnavailable& event) { handoverService.onTargetUnavailable(event); });
        stream = std::make_shared<LiveStream>(io, dispatcher.nextId(), "request-1", entry(0), WorkEstimate { .promptTokens = 1000, .outputTokens = 900 });
        stream->onEvent("1", 4);
        streams.add(stream);
    }

    static TargetEntry entry(int number)
    {
        return { .id = "engine-" + std::to_string(number), .service = "writer", .endpoint = { "127.0.0.1", static_cast<std::uint16_t>(9000 + number) }, .failureDomain = "north", .slots = 4, .startedAt = 1 };
    }

    void announceShutdown()
    {
        auto draining = entry(0);
        draining.state = TargetState::Draining;
        directory.onEntryWritten(draining.id, draining, Clock::now());
    }

    void run(Milliseconds time) { io.run_for(time); }

    std::optional<StreamMove> move()
    {
        std::optional<std::optional<StreamMove>> awaitedMove;
        asio::co_spawn(io, storeValue(stream->awaitMove(Milliseconds(20)), awaitedMove), asio::detached);
        io.restart();
        while (!awaitedMove)
            io.run_one();
        return *awaitedMove;
    }
};

}

Test(HandoverService, engineShutsDown_runIsCopiedThenStoppedAndMoved)
{
    HandoverFixture f(1);
    f.announceShutdown();
    f.run(Milliseconds(100));
    cr_assert(f.operations.calls.size() == 2);
    cr_expect(!f.operations.calls[0].stop && f.operations.calls[1].stop);
    auto move = f.move();
    cr_assert(move.has_value());
    cr_expect(move->destination.id == "engine-1");
    cr_expect(move->continuation.handle == "handle");
    cr_expect(f.dispatcher.ledger().totalLoad("engine-1").requests == 0, "the reservation ended");
}

Test(HandoverService, noDestination_retriesWithPausesWithoutSpinning)
{
    HandoverFixture f(0);
    f.announceShutdown();
    std::size_t handlers = f.io.run_for(Milliseconds(500));
    cr_expect(f.operations.calls.empty());
    cr_expect(handlers < 200, "%zu handlers ran in half a second", handlers);
    f.directory.onEntryWritten("engine-7", f.entry(7), Clock::now());
    f.run(Milliseconds(400));
    cr_expect(f.operations.calls.size() == 2, "the generation moves once an engine is available");
}

Test(HandoverService, destinationFull_anotherDestinationIsTried)
{
    HandoverFixture f(2);
    f.operations.answers = { { .result = HandoverResult::DestinationFull } };
    f.announceShutdown();
    f.run(Milliseconds(200));
    cr_assert(f.operations.calls.size() == 3);
    cr_expect(f.operations.calls[0].destination != f.operations.calls[1].destination);
    cr_expect(f.move().has_value());
    auto full = "engine-" + std::to_string(f.operations.calls[0].destination.port - 9000);
    auto next = f.dispatcher.chooseDestination(f.entry(0), { .slots = 4, .memoryTokens = 20000 }, { .copiedTokens = 1500, .outputTokens = 100 }, {});
    cr_expect(next && *next != full, "the owner learned that the destination has less room than it showed");
}

Test(HandoverService, stopAnswerLost_stopIsRepeatedToGetHandle)
{
    HandoverFixture f(1);
    f.operations.answers = { { .result = HandoverResult::Done }, { .result = HandoverResult::Unknown } };
    f.announceShutdown();
    f.run(Milliseconds(200));
    cr_assert(f.operations.calls.size() == 3);
    cr_expect(f.operations.calls[2].stop);
    auto move = f.move();
    cr_expect(move && move->continuation.handle == "handle");
}

Test(HandoverService, stopWithoutCopy_runResumesAtSource)
{
    HandoverFixture f(1);
    f.operations.answers = { { .result = HandoverResult::Done }, { .result = HandoverResult::DestinationFull, .handle = "kept" } };
    f.announceShutdown();
    f.run(Milliseconds(30));
    auto move = f.move();
    cr_assert(move.has_value());
    cr_expect(move->destination.id == "engine-0");
    cr_expect(move->continuation.handle == "kept");
}

Test(HandoverService, copyNotUsed_isFreedAtDestination)
{
    HandoverFixture f(1);
    f.operations.answers = { { .result = HandoverResult::Done, .handle = "first" }, { .result = HandoverResult::NoSuchRun } };
    f.operations.onCall = [&f] {
        // The generation completes while its copy is in progress.
        if (f.operations.calls.size() == 2)
            f.streams.remove(f.stream->id());
    };
    f.announceShutdown();
    f.run(Milliseconds(200));
    cr_assert(f.operations.freedCopies.size() == 1);
    cr_expect(f.operations.freedCopies[0].first == f.entry(1).endpoint);
    cr_expect(f.operations.freedCopies[0].second == "first");
}

Test(HandoverService, copyUsed_isNotFreed)
{
    HandoverFixture f(1);
    f.operations.answers = { { .result = HandoverResult::Done, .handle = "first" }, { .result = HandoverResult::Done, .handle = "second" } };
    f.announceShutdown();
    f.run(Milliseconds(200));
    cr_expect(f.operations.calls.size() == 2);
    cr_expect(f.operations.freedCopies.empty());
}

Test(HandoverService, generationNearItsEnd_isNotMoved)
{
    HandoverFixture f(1);
    f.stream->onEvent("2", 880);
    f.announceShutdown();
    f.run(Milliseconds(100));
    cr_expect(f.operations.calls.empty());
}

/// Guards against generations that move to an evacuated domain: the evacuation began while the copy was made.
Test(HandoverService, destinationEvacuatedDuringCopy_runIsNotStoppedForItAndMovesElsewhere)
{
    HandoverFixture f(1);
    auto other = f.entry(7);
    other.failureDomain = "south";
    f.directory.onEntryWritten(other.id, other, Clock::now());
    f.operations.answers = { { .result = HandoverResult::Done, .handle = "unused" } };
    f.operations.onCall = [&f] { f.directory.evacuations().onEvacuated("north", Clock::now()); };
    f.announceShutdown();
    f.run(Milliseconds(200));
    cr_assert(f.operations.calls.size() == 3);
    cr_expect(!f.operations.calls[0].stop && !f.operations.calls[1].stop && f.operations.calls[2].stop);
    auto move = f.move();
    cr_expect(move && move->destination.id == "engine-7");
    cr_assert(f.operations.freedCopies.size() == 1);
    cr_expect(f.operations.freedCopies[0].second == "unused");
}

namespace {

/// Stops a generation until the engine answers that there is none, which also ends the stream.
void stopUntilNoRunIsFound(HandoverFixture& f, std::vector<CopyAnswer> answersBefore)
{
    f.operations.answers = { { .result = HandoverResult::Done, .handle = "copy" } };
    f.operations.answers.insert(f.operations.answers.end(), answersBefore.begin(), answersBefore.end());
    f.operations.answers.push_back({ .result = HandoverResult::NoSuchRun });
    auto lastCall = f.operations.answers.size();
    f.operations.onCall = [&f, lastCall] {
        if (f.operations.calls.size() == lastCall)
            f.streams.remove(f.stream->id());
    };
    f.announceShutdown();
    f.run(Milliseconds(200));
    cr_assert(f.operations.calls.size() == lastCall);
}

}

/// Guards against LOST: a whole stream counted as stopped although the engine had no such generation any more.
Test(HandoverService, stopFindsNoRun_generationHasNotStopped)
{
    HandoverFixture f(1);
    stopUntilNoRunIsFound(f, {});
    cr_expect(!f.stream->mayHaveStopped() && !f.stream->isStopping());
}

/// Guards against ORDER: the first call may have stopped the generation, and the engine has forgotten it since.
Test(HandoverService, stopAnswerIsLostThenNoRunIsFound_generationMayHaveStopped)
{
    HandoverFixture f(1);
    stopUntilNoRunIsFound(f, { { .result = HandoverResult::Unknown } });
    cr_expect(f.stream->mayHaveStopped() && !f.stream->isStopping());
}

/// Guards against ORDER: the stream of a generation that was stopped by a lost call counted as complete.
Test(HandoverService, stopAnswersAreLost_generationMayHaveStopped)
{
    HandoverFixture f(1);
    f.operations.answers = { { .result = HandoverResult::Done, .handle = "copy" } };
    f.operations.answers.resize(8, { .result = HandoverResult::Unknown });
    f.announceShutdown();
    f.run(Milliseconds(200));
    cr_expect(f.stream->mayHaveStopped() && !f.stream->isStopping());
}

namespace {

/// A HandoverFixture whose view of the store is outdated.
struct PollerFixture : HandoverFixture {
    StoreView view { .reachable = false, .age = Seconds(3) };
    EngineShutdownPoller poller { { .io = io, .streams = streams, .directory = directory, .operations = operations, .link = link, .storeView = [this] { return view; } } };

    PollerFixture()
        : HandoverFixture(1)
    {
    }
};

}

Test(EngineShutdownPoller, engineShutsDownWhileStoreUnreachable_runIsMoved)
{
    PollerFixture f;
    f.operations.report = TargetReport { .startedAt = 1, .draining = true, .timeToShutdown = Milliseconds(1500) };
    f.poller.onTick(Clock::now());
    f.run(Milliseconds(100));
    cr_expect(!f.directory.isUsable("engine-0"));
    cr_expect(f.operations.calls.size() == 2, "copied and stopped");
    cr_expect(f.move().has_value());
    f.poller.onTick(Clock::now() + Seconds(1));
    cr_expect(f.operations.polledEndpoints.size() == 1, "a draining engine is not polled again");
}

Test(EngineShutdownPoller, reportFromNewTargetAtAddress_isIgnored)
{
    PollerFixture f;
    f.operations.report = TargetReport { .startedAt = 2, .draining = true };
    f.poller.onTick(Clock::now());
    f.run(Milliseconds(50));
    cr_expect(f.directory.isUsable("engine-0"));
}

Test(EngineShutdownPoller, storeViewCurrent_noEngineIsPolled)
{
    PollerFixture f;
    f.view = { .reachable = true, .age = Milliseconds(500) };
    f.poller.onTick(Clock::now());
    f.run(Milliseconds(50));
    cr_expect(f.operations.polledEndpoints.empty());
}

Test(EngineShutdownPoller, peerNotice_movesLocalRuns)
{
    PollerFixture f;
    f.poller.onPeerNotice({ .target = "engine-0", .startedAt = 1 }, Clock::now());
    f.run(Milliseconds(100));
    cr_expect(f.move().has_value());
}

/// Guards against DRAIN: an engine that states its shutdown only in its answers went on getting requests.
Test(EngineShutdownPoller, engineStatesShutdownInAnswer_targetIsNotUsableAndRunIsMoved)
{
    PollerFixture f;
    f.poller.onDrainingAnswer(f.entry(0));
    cr_expect(!f.directory.isUsable("engine-0"));
    f.run(Milliseconds(100));
    cr_expect(f.move().has_value());
    auto restarted = f.entry(0);
    restarted.startedAt = 2;
    f.directory.onEntryWritten(restarted.id, restarted, Clock::now());
    f.poller.onDrainingAnswer(f.entry(0));
    cr_expect(f.directory.isUsable("engine-0"), "a late answer of the earlier incarnation changes nothing");
}

/// Guards against LOST: the generations of an evacuated engine that shuts down did not move, since the engine was not asked.
Test(EngineShutdownPoller, evacuatedEngineShutsDownWhileStoreUnreachable_runIsMoved)
{
    PollerFixture f;
    auto outside = f.entry(1);
    outside.failureDomain = "south";
    f.directory.onEntryWritten(outside.id, outside, Clock::now());
    f.directory.evacuations().onEvacuated("north", Clock::now());
    f.run(Milliseconds(50));
    cr_expect(f.operations.calls.empty(), "an evacuation moves nothing");
    f.operations.report = TargetReport { .startedAt = 1, .draining = true, .timeToShutdown = Milliseconds(1500) };
    f.poller.onTick(Clock::now());
    f.io.restart();
    f.run(Milliseconds(100));
    auto move = f.move();
    cr_expect(move && move->destination.id == "engine-1");
}
