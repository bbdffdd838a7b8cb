#pragma once

#include "net/httpexchange.h"

namespace guavaspan {

/// A request to a server known by IP number.
struct HttpCall {
    Endpoint endpoint;
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    HttpHeaders headers;
    Clock::duration timeout = Seconds(5);
    std::uint64_t maxReplyBytes = 16 << 20;
};

/// Performs one call on a connection of its own, so that a failure after the
/// first written byte is always told apart from one before it.
Awaitable<Result<HttpResponse>> callHttp(HttpCall);

}
