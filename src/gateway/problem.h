#pragma once

#include "net/httpexchange.h"

namespace guavaspan {

/// Contents of an error response besides the error itself.
struct ProblemOptions {
    std::string requestId;
    int deliveredTokens = 0;
    Clock::duration retryAfter {};
    HttpHeaders headers;
};

unsigned httpStatusOf(ErrorCode);

/// Returns the error as application/problem+json.
std::string problemJson(const Error&, const ProblemOptions&);
Reply problemReply(const Error&, const ProblemOptions&);

}
