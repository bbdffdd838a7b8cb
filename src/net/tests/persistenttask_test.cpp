#include "net/persistenttask.h"
#include "net/tests/runcoroutine.h"

#include <criterion/criterion.h>
#include <stdexcept>

using namespace guavaspan;

namespace {

Awaitable<> failTwice(int& runs)
{
    co_await sleepFor(Milliseconds(1));
    if (++runs < 3)
        throw std::out_of_range("odd entry");
}

}

/// Guards against CONFIG and DRAIN: an exception ended the loop that follows the store, without a line in the log.
Test(PersistentTask, taskThatThrows_isStartedAgainUntilItReturns)
{
    asio::io_context context;
    int runs = 0;
    runThenStop(context, runPersistently("test", [&runs] { return failTwice(runs); }));
    cr_expect_eq(runs, 3);
}
