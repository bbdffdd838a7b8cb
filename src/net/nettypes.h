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

using HttpResponse = http::response<http::string_body>;

/// Size limit of the header of a response.
inline constexpr std::uint32_t maxResponseHeaderBytes = 8 << 10;
/// Bytes of a message that the parser may leave in the buffer: a header, a chunk header or all trailer fields.
/// The parser itself limits only the first.
inline constexpr std::size_t maxUnparsedBytes = 64 << 10;

/// Completion token that returns the error code instead of throwing.
inline constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// Parses "127.0.0.1:80" or "[::1]:80". Host names are rejected: instances address peers by IP address.
std::optional<Endpoint> parseEndpoint(std::string_view);

/// False for port 0 and the unspecified address, which name no server.
bool isConnectable(const Endpoint&);

/// True if the bytes received are no HTTP message, or exceed a limit; false if the connection broke or timed out.
bool isMalformedMessage(const boost::system::error_code&);

/// True for the statuses of HTTP that end a request; an informational response does not.
bool isFinalStatus(unsigned status);

/// The error of a response whose status is not final.
Error statusError(unsigned status, std::string peer);

/// Suspends the calling coroutine.
Awaitable<> sleepFor(Clock::duration);

}
