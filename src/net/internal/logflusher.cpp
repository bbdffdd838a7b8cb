#include "net/logflusher.h"

#include "common/log.h"

namespace guavaspan {

namespace {

    /// Too short to be noticed by a person who follows the log; each flush wakes the event loop.
    constexpr auto flushInterval = Milliseconds(50);

}

Awaitable<> flushLogPeriodically()
{
    while (true) {
        flushLog();
        co_await sleepFor(flushInterval);
    }
}

}
