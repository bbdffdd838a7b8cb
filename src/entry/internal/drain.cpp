#include "entry/drain.h"

#include <algorithm>

namespace guavaspan {

namespace {

    constexpr auto checkInterval = Milliseconds(50);
    /// Longest time to wait for the last write of use if the store does not respond.
    constexpr auto writeTimeout = Milliseconds(1000);

    Awaitable<> writeAndNotify(std::function<Awaitable<bool>()> writeUsage, std::shared_ptr<bool> written)
    {
        *written = co_await writeUsage();
    }

    Awaitable<> waitUntilIdle(const DrainOptions& options, std::function<TimePoint()> latest)
    {
        while (options.busyConnections() > 0 && Clock::now() < latest())
            co_await sleepFor(checkInterval);
    }

    Awaitable<> waitForRequests(const DrainOptions& options)
    {
        std::function<TimePoint()> requestsEndAt = [&options] { return options.schedule().requestsEndAt(); };
        co_await waitUntilIdle(options, std::move(requestsEndAt));
        if (options.busyConnections() == 0)
            co_return;
        options.cutRequests();
        std::function<TimePoint()> answersEndAt = [&options] {
            auto schedule = options.schedule();
            return schedule.requestsEndAt() + (schedule.processEndsAt() - schedule.requestsEndAt()) / 2;
        };
        co_await waitUntilIdle(options, std::move(answersEndAt));
    }

    Awaitable<bool> writeUsage(const DrainOptions& options)
    {
        auto written = std::make_shared<bool>(false);
        asio::co_spawn(co_await asio::this_coro::executor, writeAndNotify(options.writeUsage, written), asio::detached);
        auto deadline = std::min<TimePoint>(Clock::now() + writeTimeout, options.schedule().processEndsAt());
        while (!*written && Clock::now() < deadline)
            co_await sleepFor(checkInterval);
        co_return *written;
    }

}

/// New connections are accepted while requests run: a request that cannot end in time is refused at once, and its
/// caller need not wait for a connection. Connections that were open when the listener closed may still bring one
/// request each, also while use is written. They close after it, so this ends.
Awaitable<bool> drain(DrainOptions options)
{
    while (Clock::now() < options.schedule().balancerStopsAt()) {
        Clock::duration timeLeft = options.schedule().balancerStopsAt() - Clock::now();
        co_await sleepFor(std::min<Clock::duration>(checkInterval, timeLeft));
    }
    options.closeIdleConnections();
    co_await waitForRequests(options);
    options.closeListener();
    while (true) {
        auto endedBefore = options.endedRequests();
        bool written = co_await writeUsage(options);
        bool requestArrived = options.busyConnections() > 0 || options.endedRequests() != endedBefore;
        if (!requestArrived || Clock::now() >= options.schedule().requestsEndAt())
            co_return written;
        co_await waitForRequests(options);
        if (!written)
            co_return false;
    }
}

}
