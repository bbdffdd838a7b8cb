#include "relay/tests/endlessenginesfixture.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// Without an overrun and a slack, one request is for the burst and three for the refill, so a request becomes available each 333 ms.
constexpr double coldRequestsPerSecond = 4;
constexpr auto maxWaitForShare = Milliseconds(340);
constexpr auto checkDelay = Milliseconds(100);

/// A stream that moves to a cold engine while it runs.
struct StreamResumeFixture : EndlessEnginesFixture {
    StreamResumeFixture()
        : EndlessEnginesFixture({ .name = "events", .start = sealedHeader + "\r\n", .repeated = "data: a\n\n", .pause = Milliseconds(5) })
    {
        targetLimits.setColdServices({ { "writer", coldRequestsPerSecond } }, Clock::now());
    }

    Awaitable<> moveStream()
    {
        while (streams.targets().empty())
            co_await sleepFor(Milliseconds(2));
        auto source = *directory.find(*streams.targets().begin());
        auto destination = *directory.find(source.id == idOf("writer", 0) ? idOf("writer", 1) : idOf("writer", 0));
        auto stream = streams.atTarget(source.id).front();
        while (stream->eventCount() == 0)
            co_await sleepFor(Milliseconds(2));
        targetLimits.onWarmUpAnswer(destination, Seconds(60), Clock::now());
        stream->onMoved({ .destination = destination, .continuation = { .issuer = source.endpoint, .handle = "h" }, .source = source });
        stream->interrupt();
        co_await sleepFor(checkDelay);
        waitAfterDelay = targetLimits.coldWaitTime(destination.id, Clock::now());
    }

    void askAndMove()
    {
        asio::co_spawn(io, moveStream(), asio::detached);
        ask("/stream");
    }

    Clock::duration waitAfterDelay {};
};

}

/// Guards against an overloaded cold target: generations that move to a cold engine at one moment are all sent at that moment.
Test(StreamRelay, generationMovesToAColdEngine_waitsForTheShare)
{
    StreamResumeFixture f;
    f.targetLimits.onColdSharers(ColdSharers { .instances = { "self" } }, Clock::now());
    f.askAndMove();
    cr_expect(f.waitAfterDelay <= maxWaitForShare, "nothing was taken from the share before it was there");
    cr_expect(f.report.connections == 2, "the generation went on at the destination; %d connections, %s", f.report.connections, f.timing().c_str());
}

/// Guards against LOST: a generation whose engine ends waits for a share that other instances have.
Test(StreamRelay, generationMovesToAColdEngineWithoutShare_isResumedAtOnce)
{
    StreamResumeFixture f;
    f.askAndMove();
    cr_expect(f.report.connections == 2, "%d connections, %s", f.report.connections, f.timing().c_str());
}
