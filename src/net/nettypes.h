#pragma once

#include "common/error.h"
#include "common/time.h"
#include "net/endpoint.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string>

namespace guavaspan {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

template <typename T = void>
using Awaitable = asio::awaitable<T>;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Completion token that returns the error code instead of throwing.
inline constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// Parses "127.0.0.1:80" or "[::1]:80". Host names are rejected: instances address peers by IP address.
std::optional<Endpoint> parseEndpoint(std::string_view);

/// Suspends the calling coroutine.
Awaitable<> sleepFor(Clock::duration);

}
