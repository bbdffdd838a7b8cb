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
    bool peerTakesUsage = false;
    bool requestsEnd = true;
    bool idleConnectionsOpen = true;
    bool requestsCut = false;
    bool idleConnectionsOpenWhileHandling = true;
    StopOptions stop { .signalledAt = BootClock::now(), .stopLimit = Seconds(8), .balancerDetectionTime = Milliseconds(10) };
    int writes = 0;
    int charges = 0;
    std::optional<BootTime> firstWriteAt;
    std::optional<BootTime> cutAt;
    std::uint64_t requestsEnded = 0;
    std::uint64_t requestsOnRecord = 0;

    Awaitable<> serveRequest()
    {
        ++inFlight;
        co_await sleepFor(requestDuration);
        while (!requestsEnd && !requestsCut)
            co_await sleepFor(requestDuration / 10);
        ++requestsEnded;
        --inFlight;
    }

    Awaitable<bool> writeUsage()
    {
        ++writes;
        firstWriteAt = firstWriteAt.value_or(BootClock::now());
        if (std::exchange(requestArrivesDuringWrite, false))
            asio::co_spawn(io, serveRequest(), asio::detached);
        requestsOnRecord = requestsEnded;
        if (!storeResponds)
            co_await sleepFor(Seconds(5));
        co_return storeResponds;
    }

    Awaitable<bool> handOverUsage()
    {
        co_await sleepFor(Milliseconds(5));
        co_return peerTakesUsage;
    }

    void cutRequests()
    {
        requestsCut = true;
        cutAt = BootClock::now();
    }

    Awaitable<> drainThenStop(DrainOptions options, bool& written)
    {
        written = co_await drain(std::move(options));
        io.stop();
    }

    bool run()
    {
        DrainOptions options { .busyConnections = [this] { return inFlight; }, .endedRequests = [this] { return requestsEnded; }, .closeIdleConnections = [this] { idleConnectionsOpen = false; }, .closeListener = [this] { listening = false; }, .cutRequests = [this] { cutRequests(); }, .chargeRunningRequests = [this] { ++charges; }, .writeUsage = [this] { return writeUsage(); }, .handOverUsage = [this] { return handOverUsage(); }, .schedule = [this] { return StopSchedule(stop); } };
        bool written = false;
        asio::co_spawn(io, drainThenStop(std::move(options), written), asio::detached);
        io.run_for(Seconds(4));
        return written;
    }
};

Awaitable<> noteStateAfter(DrainFixture& f, Clock::duration delay)
{
    co_await sleepFor(delay);
    f.idleConnectionsOpenWhileHandling = f.idleConnectionsOpen || f.requestsEnded > 0;
}

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

/// Guards against LOST: an idle connection stayed open while a request ran, and brought another one before the kill.
Test(Drain, requestInFlight_idleConnectionsCloseBeforeItEnds)
{
    DrainFixture f;
    asio::co_spawn(f.io, f.serveRequest(), asio::detached);
    asio::co_spawn(f.io, noteStateAfter(f, requestDuration / 2), asio::detached);
    cr_expect(f.run());
    cr_expect(f.requestsEnded == 1 && !f.requestsCut);
    cr_expect_not(f.idleConnectionsOpenWhileHandling);
}

/// Guards against LOST: drain waited for the last request beyond the host's kill.
Test(Drain, requestBeyondTheLimit_isCutAnsweredAndOnRecordBeforeTheKill)
{
    DrainFixture f;
    f.requestsEnd = false;
    f.stop.stopLimit = Milliseconds(1200);
    asio::co_spawn(f.io, f.serveRequest(), asio::detached);
    cr_expect(f.run());
    cr_expect(f.requestsCut && f.requestsEnded == 1 && f.requestsOnRecord == 1);
    cr_expect(BootClock::now() < f.stop.signalledAt + f.stop.stopLimit);
}

/// Guards against LOST: a store that does not respond held the process beyond the host's kill.
Test(Drain, storeThatDoesNotRespond_endsBeforeTheKill)
{
    DrainFixture f;
    f.storeResponds = false;
    f.requestsEnd = false;
    f.stop.stopLimit = Milliseconds(1200);
    asio::co_spawn(f.io, f.serveRequest(), asio::detached);
    cr_expect(!f.run());
    cr_expect(BootClock::now() < f.stop.signalledAt + f.stop.stopLimit);
}

/// Guards against lost use: the store does not answer while the instance stops.
Test(Drain, storeSilent_useWithAPeerIsSaved)
{
    DrainFixture f;
    f.storeResponds = false;
    f.peerTakesUsage = true;
    cr_expect(f.run());
}

/// Guards against lost use: a request that ran since before a standstill went on until the host killed the process, which was earlier
/// than planned.
Test(Drain, signalMayBeOld_useIsSavedBeforeTheEarliestKillAndRequestsEndBeforeTheLatest)
{
    DrainFixture f;
    f.requestsEnd = false;
    f.stop.maxSignalAge = Seconds(1);
    f.stop.stopLimit = Milliseconds(2400);
    asio::co_spawn(f.io, f.serveRequest(), asio::detached);
    cr_expect(f.run());
    auto earliestKill = f.stop.signalledAt - f.stop.maxSignalAge + f.stop.stopLimit;
    cr_assert(f.firstWriteAt && f.cutAt);
    cr_expect(f.charges > 0 && *f.firstWriteAt < earliestKill);
    cr_expect(*f.cutAt > earliestKill, "a request was cut although the signal may be new");
    cr_expect(f.writes > 1 && f.requestsOnRecord == 1);
    cr_expect(BootClock::now() < f.stop.signalledAt + f.stop.stopLimit);
}
