#pragma once

#include "net/nettypes.h"

#include <cstdint>
#include <exception>

namespace guavaspan {

/// Runs the context until it is stopped or out of work. An exception that leaves a handler is logged and counted, and ends only what
/// the handler belongs to, such as one connection.
void runEventLoop(asio::io_context&);

/// Logs and counts the exception that ended a coroutine, if there is one. Serves as its completion handler.
void reportFailedHandler(const std::exception_ptr&);

/// Number of exceptions that left handlers or coroutines since the process started.
std::uint64_t failedHandlers();

}
