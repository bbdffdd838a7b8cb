#include "gateway/problem.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace guavaspan {

unsigned httpStatusOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::BadRequest:
        return 400;
    case ErrorCode::Unauthorised:
        return 401;
    case ErrorCode::Forbidden:
        return 403;
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::Conflict:
    case ErrorCode::Stale:
    case ErrorCode::InProgress:
        return 409;
    case ErrorCode::TooLarge:
        return 413;
    case ErrorCode::Quarantined:
        return 422;
    case ErrorCode::Overloaded:
    case ErrorCode::RateLimited:
        return 429;
    case ErrorCode::Cancelled:
        return 499;
    case ErrorCode::BadReply:
    case ErrorCode::Refused:
    case ErrorCode::LinkBroken:
    case ErrorCode::LinkStalled:
    case ErrorCode::Incomplete:
    case ErrorCode::OutcomeUnknown:
        return 502;
    case ErrorCode::ConnectFailed:
    case ErrorCode::Unavailable:
    case ErrorCode::Stopping:
        return 503;
    case ErrorCode::Timeout:
    case ErrorCode::DeadlineExceeded:
        return 504;
    }
    return 500;
}

std::string problemJson(const Error& error, const ProblemOptions& options)
{
    nlohmann::ordered_json problem {
        { "type", "about:blank" },
        { "title", std::string(toString(error.code)) },
        { "status", httpStatusOf(error.code) },
        { "code", std::string(toString(error.code)) },
        { "step", std::string(toString(error.step)) },
        { "peer", error.peer },
        { "outcome", std::string(toString(error.outcome)) },
        { "detail", error.detail },
        { "delivered_tokens", options.deliveredTokens },
        { "request_id", options.requestId },
    };
    return problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Reply problemReply(const Error& error, const ProblemOptions& options)
{
    Reply reply { .status = httpStatusOf(error.code), .contentType = "application/problem+json", .body = problemJson(error, options), .headers = options.headers };
    if (options.retryAfter.count() > 0) {
        auto seconds = static_cast<int>(std::ceil(std::chrono::duration<double>(options.retryAfter).count()));
        reply.headers["Retry-After"] = std::to_string(std::max(1, seconds));
    }
    if (!options.requestId.empty())
        reply.headers["X-Request-Id"] = options.requestId;
    return reply;
}

}
