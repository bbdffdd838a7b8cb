#pragma once

#include "net/nettypes.h"

#include <optional>

namespace guavaspan {

// Coroutines of tests live in helpers such as these: the compiler gives coroutine
// lambdas inside a test function colliding symbols.

template <typename Value>
Awaitable<> storeValue(Awaitable<Value> coroutine, std::optional<Value>& result)
{
    result.emplace(co_await std::move(coroutine));
}

/// Runs a coroutine to its end and gives its value.
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

/// Runs a coroutine, then stops whatever else goes on in the context.
inline void runThenStop(asio::io_context& context, Awaitable<> coroutine)
{
    asio::co_spawn(context, stopAfter(std::move(coroutine), context), asio::detached);
    context.restart();
    context.run();
}

}
