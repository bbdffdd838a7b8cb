#include "net/logflusher.h"

#include "common/log.h"

namespace guavaspan {

namespace {

    /// A person who follows the log does not notice this delay; a shorter one would wake the event loop more often.
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
