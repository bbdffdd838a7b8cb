#pragma once

#include "net/httpclient.h"

namespace guavaspan {

/// Connects within the timeout; the failure is always "not run".
Awaitable<Result<void>> connectTo(beast::tcp_stream&, const Endpoint&, Clock::duration timeout);

/// Writes the whole request; once begun, a failure leaves the outcome unknown.
Awaitable<Result<void>> sendRequest(beast::tcp_stream&, const HttpCall&);

/// Maps a transport failure after the first written byte.
Error linkError(const boost::system::error_code&, Step, const Endpoint&);

}
