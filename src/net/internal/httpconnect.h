#pragma once

#include "net/httpclient.h"

namespace guavaspan {

/// Connects within the timeout; an error always has Outcome::NotRun.
Awaitable<Result<void>> connectTo(beast::tcp_stream&, const Endpoint&, Clock::duration timeout);

/// Writes the complete request until the deadline, which then applies to reads from the stream, too. An error has Outcome::Unknown, since the server may have received it.
Awaitable<Result<void>> sendRequest(beast::tcp_stream&, const HttpCall&, TimePoint deadline);

/// Converts a transport failure after the start of the write to an error with Outcome::Unknown.
Error linkError(const boost::system::error_code&, Step, const Endpoint&);

}
