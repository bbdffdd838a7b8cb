#include "net/tests/runcoroutine.h"
#include "relay/handoverservice.h"
#include "relay/leaveinquiry.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// Engines that answer from a list and note what they were asked.
class FakeOperations : public ITargetOperations {
public:
    Awaitable<CopyAnswer> copyRun(CopyOptions options) override
    {
        calls.push_back(options);
        if (onCall)
            onCall();
        auto answer = next < answers.size() ? answers[next++] : CopyAnswer { .result = HandoverResult::Done, .handle = options.stop ? "handle" : "" };
        co_return answer;
    }

    Awaitable<std::optional<TargetReport>> readReport(Endpoint target, Clock::duration) override
    {
        asked.push_back(target);
        co_return report;
    }

    Awaitable<> freeCopy(Endpoint holder, std::string handle) override
    {
        freed.emplace_back(std::move(holder), std::move(handle));
        co_return;
    }

    std::vector<Endpoint> asked;
    std::vector<std::pair<Endpoint, std::string>> freed;
    std::optional<TargetReport> report;

    std::function<void()> onCall;
    std::vector<CopyOptions> calls;
    std::vector<CopyAnswer> answers;
    std::size_t next = 0;
};

class CountingObserver : public IHandoverObserver {
public:
    void onHandoverStep(HandoverPhase, HandoverResult) override { ++steps; }
    int steps = 0;
};

/// One instance that owns its pool, with one stream at an engine that leaves.
struct HandoverFixture {
    asio::io_context io;
    TargetDirectory directory;
    ConfigurationGate gate { Seconds(4) };
    FleetView fleet { "self", 1000 };
    Dispatcher dispatcher { io, directory, "north", Random(3) };
    FleetLink link { io, fleet };
    OutputEstimator outputs;
    PlacementClient placement { io, "self", fleet, dispatcher, directory, outputs, link };
    MoveServer turns { "self", dispatcher, gate, link };
    LiveStreams streams;
    FakeOperations operations;
    CountingObserver observer;
    HandoverService handovers { { .io = io, .instance = "self", .placement = placement, .turns = turns, .link = link, .streams = streams, .gate = gate, .directory = directory, .operations = operations, .observer = observer } };
    std::shared_ptr<LiveStream> stream;

    explicit HandoverFixture(int destinations)
    {
        gate.adopt({ .version = 1, .services = { { .name = "writer", .engine = EngineTraits { .slots = 4, .memoryTokens = 20000, .canMove = true } } } });
        for (int i = 0; i <= destinations; ++i)
            directory.onWritten("engine-" + std::to_string(i), entry(i), Clock::now());
        turns.onOwnAnswer([this](const MoveResponse& answer) { handovers.onAnswer(answer); });
        directory.onLeave([this](const TargetLeft& left) { handovers.onTargetLeft(left); });
        stream = std::make_shared<LiveStream>(io, dispatcher.nextId(), "request-1", entry(0), WorkEstimate { .promptTokens = 1000, .outputTokens = 900 });
        stream->onEvent("1", 4);
        streams.add(stream);
    }

    static TargetEntry entry(int number)
    {
        return { .id = "engine-" + std::to_string(number), .service = "writer", .endpoint = { "127.0.0.1", static_cast<std::uint16_t>(9000 + number) }, .failureDomain = "north", .slots = 4, .startedAt = 1 };
    }

    void leave()
    {
        auto leaving = entry(0);
        leaving.state = TargetState::Leaving;
        directory.onWritten(leaving.id, leaving, Clock::now());
    }

    void run(Milliseconds time) { io.run_for(time); }

    std::optional<StreamMove> move()
    {
        std::optional<std::optional<StreamMove>> taken;
        asio::co_spawn(io, storeValue(stream->takeMove(Milliseconds(20)), taken), asio::detached);
        io.run_for(Milliseconds(60));
        return taken ? *taken : std::nullopt;
    }
};

}

Test(HandoverService, leavingEngine_runIsCopiedThenStoppedAndGoesOnElsewhere)
{
    HandoverFixture f(1);
    f.leave();
    f.run(Milliseconds(100));
    cr_assert(f.operations.calls.size() == 2);
    cr_expect(!f.operations.calls[0].stop && f.operations.calls[1].stop);
    auto move = f.move();
    cr_assert(move.has_value());
    cr_expect(move->destination.id == "engine-1");
    cr_expect(move->continuation.handle == "handle");
    cr_expect(f.dispatcher.ledger().total("engine-1").requests == 0, "the reservation ended");
}

Test(HandoverService, noDestination_asksAgainWithPausesAndDoesNotSpin)
{
    HandoverFixture f(0);
    f.leave();
    std::size_t handlers = f.io.run_for(Milliseconds(500));
    cr_expect(f.operations.calls.empty());
    cr_expect(handlers < 200, "%zu handlers ran in half a second", handlers);
    f.directory.onWritten("engine-7", f.entry(7), Clock::now());
    f.run(Milliseconds(400));
    cr_expect(f.operations.calls.size() == 2, "it moves once an engine comes");
}

Test(HandoverService, destinationWithoutRoom_isFollowedByAnother)
{
    HandoverFixture f(2);
    f.operations.answers = { { .result = HandoverResult::DestinationFull } };
    f.leave();
    f.run(Milliseconds(200));
    cr_assert(f.operations.calls.size() == 3);
    cr_expect(f.operations.calls[0].destination != f.operations.calls[1].destination);
    cr_expect(f.move().has_value());
}

Test(HandoverService, lostAnswerToAStop_isAskedAgainForItsHandle)
{
    HandoverFixture f(1);
    f.operations.answers = { { .result = HandoverResult::Done }, { .result = HandoverResult::Unknown } };
    f.leave();
    f.run(Milliseconds(200));
    cr_assert(f.operations.calls.size() == 3);
    cr_expect(f.operations.calls[2].stop);
    auto move = f.move();
    cr_expect(move && move->continuation.handle == "handle");
}

Test(HandoverService, stopWithoutACopy_goesOnWhereItStopped)
{
    HandoverFixture f(1);
    f.operations.answers = { { .result = HandoverResult::Done }, { .result = HandoverResult::DestinationFull, .handle = "kept" } };
    f.leave();
    f.run(Milliseconds(30));
    auto move = f.move();
    cr_assert(move.has_value());
    cr_expect(move->destination.id == "engine-0");
    cr_expect(move->continuation.handle == "kept");
}

Test(HandoverService, copyThatIsNotTakenUp_isFreedWhereItLies)
{
    HandoverFixture f(1);
    f.operations.answers = { { .result = HandoverResult::Done, .handle = "first" }, { .result = HandoverResult::NoSuchRun } };
    f.operations.onCall = [&f] {
        // The generation ends by itself while its copy is under way.
        if (f.operations.calls.size() == 2)
            f.streams.remove(f.stream->id());
    };
    f.leave();
    f.run(Milliseconds(200));
    cr_assert(f.operations.freed.size() == 1);
    cr_expect(f.operations.freed[0].first == f.entry(1).endpoint);
    cr_expect(f.operations.freed[0].second == "first");
}

Test(HandoverService, copyThatIsTakenUp_isNotFreed)
{
    HandoverFixture f(1);
    f.operations.answers = { { .result = HandoverResult::Done, .handle = "first" }, { .result = HandoverResult::Done, .handle = "second" } };
    f.leave();
    f.run(Milliseconds(200));
    cr_expect(f.operations.calls.size() == 2);
    cr_expect(f.operations.freed.empty());
}

Test(HandoverService, generationAboutToEnd_isLeftAlone)
{
    HandoverFixture f(1);
    f.stream->onEvent("2", 880);
    f.leave();
    f.run(Milliseconds(100));
    cr_expect(f.operations.calls.empty());
}

namespace {

/// The same instance while its copy of the store is old.
struct InquiryFixture : HandoverFixture {
    StoreView view { .reachable = false, .age = Seconds(3) };
    LeaveInquiry inquiry { { .io = io, .streams = streams, .directory = directory, .operations = operations, .link = link, .storeView = [this] { return view; } } };

    InquiryFixture()
        : HandoverFixture(1)
    {
    }
};

}

Test(LeaveInquiry, engineLeavesWhileTheStoreIsDown_itsRunMovesAllTheSame)
{
    InquiryFixture f;
    f.operations.report = TargetReport { .startedAt = 1, .leaving = true, .leavesIn = Milliseconds(1500) };
    f.inquiry.onTick(Clock::now());
    f.run(Milliseconds(100));
    cr_expect(!f.directory.isUsable("engine-0"));
    cr_expect(f.operations.calls.size() == 2, "copied and stopped");
    cr_expect(f.move().has_value());
    f.inquiry.onTick(Clock::now() + Seconds(1));
    cr_expect(f.operations.asked.size() == 1, "a leaving engine is not asked again");
}

Test(LeaveInquiry, anotherTargetAtTheAddress_saysNothingOfThisOne)
{
    InquiryFixture f;
    f.operations.report = TargetReport { .startedAt = 2, .leaving = true };
    f.inquiry.onTick(Clock::now());
    f.run(Milliseconds(50));
    cr_expect(f.directory.isUsable("engine-0"));
}

Test(LeaveInquiry, storeIsCurrent_noEngineIsAsked)
{
    InquiryFixture f;
    f.view = { .reachable = true, .age = Milliseconds(500) };
    f.inquiry.onTick(Clock::now());
    f.run(Milliseconds(50));
    cr_expect(f.operations.asked.empty());
}

Test(LeaveInquiry, peersNews_movesTheRunsHere)
{
    InquiryFixture f;
    f.inquiry.onPeerNews({ .target = "engine-0", .startedAt = 1 }, Clock::now());
    f.run(Milliseconds(100));
    cr_expect(f.move().has_value());
}
