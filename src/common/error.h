#pragma once

#include <boost/system/result.hpp>
#include <string>
#include <string_view>

namespace guavaspan {

/// Whether the destination executed a request, as far as the sender can tell.
enum class Outcome {
    NotRun,
    Unknown,
    Ran,
};

/// Stable reason for a failure; its string form is part of the public API.
enum class ErrorCode {
    BadRequest,
    Unauthorised,
    Forbidden,
    NotFound,
    Conflict,
    TooLarge,
    Stale,
    Timeout,
    ConnectFailed,
    LinkBroken,
    LinkStalled,
    BadReply,
    Refused,
    Overloaded,
    RateLimited,
    Unavailable,
    DeadlineExceeded,
    Incomplete,
    InProgress,
    OutcomeUnknown,
    Quarantined,
    Stopping,
    Cancelled,
};

/// Stage of processing at which an error occurred.
enum class Step {
    ReadRequest,
    Authenticate,
    Validate,
    Admit,
    Claim,
    Connect,
    SendRequest,
    ReadReply,
    Relay,
    Resume,
    KeyValue,
    Settings,
    Peer,
};

/// A failure with the step at which it occurred and the remote party involved, if any.
struct Error {
    ErrorCode code = ErrorCode::BadRequest;
    Step step = Step::ReadRequest;
    std::string peer;
    std::string detail;
    Outcome outcome = Outcome::NotRun;

    friend bool operator==(const Error&, const Error&) = default;
};

template <typename T>
using Result = boost::system::result<T, Error>;

std::string_view toString(Outcome);
std::string_view toString(ErrorCode);
std::string_view toString(Step);

/// Formats an error as one line of readable text: code, step, peer and detail.
std::string describe(const Error&);

}
