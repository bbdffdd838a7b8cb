#pragma once

#include "net/httpexchange.h"

namespace guavaspan {

/// An outgoing request to a server that is identified by IP address.
struct HttpCall {
    Endpoint endpoint;
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    HttpHeaders headers;
    /// Time to connect, to send the request and to read the response; its body may take longer if it has a time of its own.
    Clock::duration timeout = Seconds(5);
    /// Time for the body from the end of the header on.
    Clock::duration bodyTimeout {};
    std::uint64_t maxResponseBytes = 16 << 20;
};

/// Sends one request on a new connection, so that a failure before the first written byte
/// can always be distinguished from a later one.
Awaitable<Result<HttpResponse>> callHttp(HttpCall);

}
