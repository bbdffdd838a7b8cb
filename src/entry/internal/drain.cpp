#include "entry/drain.h"

namespace guavaspan {

namespace {

    constexpr auto checkInterval = Milliseconds(50);
    /// Longest time to wait for the last write of use if the store does not respond.
    constexpr auto writeTimeout = Milliseconds(1000);

    Awaitable<> writeAndNotify(std::function<Awaitable<bool>()> writeUsage, std::shared_ptr<bool> written)
    {
        *written = co_await writeUsage();
    }

    Awaitable<> waitUntilIdle(const DrainOptions& options)
    {
        while (options.inFlightRequests() > 0)
            co_await sleepFor(checkInterval);
    }

    Awaitable<bool> writeUsage(const DrainOptions& options)
    {
        auto written = std::make_shared<bool>(false);
        asio::co_spawn(co_await asio::this_coro::executor, writeAndNotify(options.writeUsage, written), asio::detached);
        auto deadline = Clock::now() + writeTimeout;
        while (!*written && Clock::now() < deadline)
            co_await sleepFor(checkInterval);
        co_return *written;
    }

}

/// Connections that were open when the listener closed may still bring one request each, also while use is
/// written. They close after it, so this ends.
Awaitable<bool> drain(DrainOptions options)
{
    co_await sleepFor(options.balancerDetectionTime);
    co_await waitUntilIdle(options);
    options.closeListener();
    while (true) {
        auto endedBefore = options.endedRequests();
        bool written = co_await writeUsage(options);
        bool requestArrived = options.inFlightRequests() > 0 || options.endedRequests() != endedBefore;
        if (!requestArrived)
            co_return written;
        co_await waitUntilIdle(options);
        if (!written)
            co_return false;
    }
}

}
