#include "entry/drain.h"

#include "net/eventloop.h"

#include <algorithm>
#include <memory>
#include <optional>

namespace guavaspan {

namespace {

    constexpr auto checkInterval = Milliseconds(50);
    /// Longest time to wait for the last write of use if the store does not respond.
    constexpr auto writeTimeout = Milliseconds(1000);
    /// Time between writes of use while the host may kill the process at any time.
    constexpr auto usageSaveInterval = Milliseconds(1000);

    using OperationResult = std::shared_ptr<std::optional<bool>>;

    Awaitable<> runAndNotify(std::function<Awaitable<bool>()> operation, OperationResult result)
    {
        *result = co_await operation();
    }

    /// A store that does not respond, or comes back from a copy later, has no other source for the use than peers. Both run at the
    /// same time so that neither takes up the time of the other.
    Awaitable<bool> saveUsage(const DrainOptions& options, BootTime latest)
    {
        auto executor = co_await asio::this_coro::executor;
        auto written = std::make_shared<std::optional<bool>>();
        auto handedOver = std::make_shared<std::optional<bool>>();
        asio::co_spawn(executor, runAndNotify(options.writeUsage, written), reportFailedHandler);
        asio::co_spawn(executor, runAndNotify(options.handOverUsage, handedOver), reportFailedHandler);
        auto deadline = std::min<BootTime>(BootClock::now() + writeTimeout, latest);
        while ((!*written || !*handedOver) && BootClock::now() < deadline)
            co_await sleepFor(checkInterval);
        co_return written->value_or(false) || handedOver->value_or(false);
    }

    Awaitable<> waitUntilIdle(const DrainOptions& options, std::function<BootTime()> latest)
    {
        while (options.busyConnections() > 0 && BootClock::now() < latest())
            co_await sleepFor(checkInterval);
    }

    /// Requests that run longer than those that are admitted go on in case the host sent its signal late. It may kill the process
    /// meanwhile, which must not take their use so far with it.
    Awaitable<> waitForLongRequests(const DrainOptions& options)
    {
        while (options.busyConnections() > 0 && BootClock::now() < options.schedule().requestsEndAt()) {
            auto savesAgainAt = BootClock::now() + usageSaveInterval;
            options.chargeRunningRequests();
            co_await saveUsage(options, options.schedule().requestsEndAt());
            std::function<BootTime()> latest = [&options, savesAgainAt] { return std::min(savesAgainAt, options.schedule().requestsEndAt()); };
            co_await waitUntilIdle(options, std::move(latest));
        }
    }

    Awaitable<> waitForRequests(const DrainOptions& options)
    {
        std::function<BootTime()> admittedRequestsEndAt = [&options] { return options.schedule().admittedRequestsEndAt(); };
        co_await waitUntilIdle(options, std::move(admittedRequestsEndAt));
        co_await waitForLongRequests(options);
        if (options.busyConnections() == 0)
            co_return;
        options.cutRequests();
        std::function<BootTime()> answersEndAt = [&options] {
            auto schedule = options.schedule();
            return schedule.requestsEndAt() + (schedule.processEndsAt() - schedule.requestsEndAt()) / 2;
        };
        co_await waitUntilIdle(options, std::move(answersEndAt));
    }

}

/// New connections are accepted while requests run: a request that cannot end in time is refused at once, and its
/// caller need not wait for a connection. Connections that were open when the listener closed may still bring one
/// request each, also while use is written. They close after it, so this ends.
Awaitable<bool> drain(DrainOptions options)
{
    while (BootClock::now() < options.schedule().balancerStopsAt()) {
        Clock::duration timeLeft = options.schedule().balancerStopsAt() - BootClock::now();
        co_await sleepFor(std::min<Clock::duration>(checkInterval, timeLeft));
    }
    options.closeIdleConnections();
    co_await waitForRequests(options);
    options.closeListener();
    while (true) {
        auto endedBefore = options.endedRequests();
        bool saved = co_await saveUsage(options, options.schedule().processEndsAt());
        bool requestArrived = options.busyConnections() > 0 || options.endedRequests() != endedBefore;
        if (!requestArrived || BootClock::now() >= options.schedule().requestsEndAt())
            co_return saved;
        co_await waitForRequests(options);
        if (!saved)
            co_return false;
    }
}

}
