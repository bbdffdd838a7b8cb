#include "net/logflusher.h"

#include "common/log.h"

namespace guavaspan {

namespace {

    /// A person who follows the log does not notice this; each flush costs a wake-up.
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
