#pragma once

#include "net/httpexchange.h"

namespace guavaspan {

/// What a failed request's answer says besides the error itself.
struct ProblemOptions {
    std::string requestId;
    int deliveredTokens = 0;
    Clock::duration retryAfter {};
    HttpHeaders headers;
};

unsigned httpStatusOf(ErrorCode);

/// The error as application/problem+json.
std::string problemJson(const Error&, const ProblemOptions&);
Reply problemReply(const Error&, const ProblemOptions&);

}
