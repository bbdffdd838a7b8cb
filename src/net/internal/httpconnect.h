#pragma once

#include "net/httpclient.h"

namespace guavaspan {

/// Size limit of the header of a response.
inline constexpr std::uint32_t maxResponseHeaderBytes = 8 << 10;
/// Bytes of a response that the parser may leave in the buffer: a header, a chunk header or all trailer fields.
/// The parser itself limits only the first.
inline constexpr std::size_t maxUnparsedBytes = 64 << 10;

/// Connects within the timeout; an error always has Outcome::NotRun.
Awaitable<Result<void>> connectTo(beast::tcp_stream&, const Endpoint&, Clock::duration timeout);

/// Writes the complete request until the deadline, which then applies to reads from the stream, too. An error has Outcome::Unknown, since the server may have received it.
Awaitable<Result<void>> sendRequest(beast::tcp_stream&, const HttpCall&, TimePoint deadline);

/// True if the bytes received are no HTTP message, or exceed a limit; false if the connection broke or timed out.
bool isMalformedMessage(const boost::system::error_code&);

/// Converts a transport failure after the start of the write to an error with Outcome::Unknown.
Error linkError(const boost::system::error_code&, Step, const Endpoint&);

}
