#include "entry/drain.h"
#include "net/tests/runcoroutine.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

constexpr auto requestDuration = Milliseconds(150);

/// A stopping instance with one connection that is still open and idle.
struct DrainFixture {
    asio::io_context io;
    std::size_t inFlight = 0;
    bool listening = true;
    bool requestArrivesDuringWrite = false;
    bool storeResponds = true;
    int writes = 0;
    std::uint64_t requestsEnded = 0;
    std::uint64_t requestsOnRecord = 0;

    Awaitable<> serveRequest()
    {
        ++inFlight;
        co_await sleepFor(requestDuration);
        ++requestsEnded;
        --inFlight;
    }

    Awaitable<bool> writeUsage()
    {
        ++writes;
        if (std::exchange(requestArrivesDuringWrite, false))
            asio::co_spawn(io, serveRequest(), asio::detached);
        requestsOnRecord = requestsEnded;
        if (!storeResponds)
            co_await sleepFor(Seconds(5));
        co_return storeResponds;
    }

    Awaitable<> drainThenStop(DrainOptions options, bool& written)
    {
        written = co_await drain(std::move(options));
        io.stop();
    }

    bool run()
    {
        DrainOptions options { .inFlightRequests = [this] { return inFlight; }, .endedRequests = [this] { return requestsEnded; }, .closeListener = [this] { listening = false; }, .writeUsage = [this] { return writeUsage(); }, .balancerDetectionTime = Milliseconds(10) };
        bool written = false;
        asio::co_spawn(io, drainThenStop(std::move(options), written), asio::detached);
        io.run_for(Seconds(4));
        return written;
    }
};

}

Test(Drain, requestInFlight_endsBeforeTheListenerCloses)
{
    DrainFixture f;
    asio::co_spawn(f.io, f.serveRequest(), asio::detached);
    cr_expect(f.run());
    cr_expect(f.requestsEnded == 1 && f.requestsOnRecord == 1 && !f.listening);
}

/// Guards against LOST: a request that arrived on an open connection while use was written was cut.
Test(Drain, requestThatArrivesWhileUsageIsWritten_endsAndIsOnRecord)
{
    DrainFixture f;
    f.requestArrivesDuringWrite = true;
    cr_expect(f.run());
    cr_expect(f.requestsEnded == 1, "the request was cut");
    cr_expect(f.requestsOnRecord == 1, "its use was lost");
}

Test(Drain, storeThatDoesNotRespond_endsTheWaitAndIsReported)
{
    DrainFixture f;
    f.storeResponds = false;
    cr_expect(!f.run());
    cr_expect(f.writes > 0);
}
