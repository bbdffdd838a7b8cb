#pragma once

#include "net/nettypes.h"

#include <optional>

namespace guavaspan {

// Test coroutines are started in helper functions like these, because the compiler generates
// colliding symbols for coroutine lambdas inside a test function.

template <typename Value>
Awaitable<> storeValue(Awaitable<Value> coroutine, std::optional<Value>& result)
{
    result.emplace(co_await std::move(coroutine));
}

/// Runs a coroutine to completion and returns its value.
template <typename Value>
Value runCoroutine(asio::io_context& context, Awaitable<Value> coroutine)
{
    std::optional<Value> result;
    asio::co_spawn(context, storeValue(std::move(coroutine), result), asio::detached);
    context.restart();
    context.run();
    return std::move(*result);
}

inline Awaitable<> stopAfter(Awaitable<> coroutine, asio::io_context& context)
{
    co_await std::move(coroutine);
    context.stop();
}

/// Runs a coroutine to completion, then stops the context with all its other work.
inline void runThenStop(asio::io_context& context, Awaitable<> coroutine)
{
    asio::co_spawn(context, stopAfter(std::move(coroutine), context), asio::detached);
    context.restart();
    context.run();
}

}
