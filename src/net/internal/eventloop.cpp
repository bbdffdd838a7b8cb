#include "net/eventloop.h"

#include "common/log.h"

#include <atomic>

namespace guavaspan {

namespace {

    std::atomic<std::uint64_t> failedHandlerCount = 0;

}

void runEventLoop(asio::io_context& context)
{
    while (!context.stopped()) {
        try {
            context.run();
        } catch (...) {
            reportFailedHandler(std::current_exception());
        }
    }
}

void reportFailedHandler(const std::exception_ptr& failure)
{
    if (!failure)
        return;
    ++failedHandlerCount;
    std::string detail = "unknown exception";
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& exception) {
        detail = exception.what();
    } catch (...) {
    }
    logEvent(LogLevel::Error, "handler_failed", { { "detail", detail } });
}

std::uint64_t failedHandlers()
{
    return failedHandlerCount;
}

}
