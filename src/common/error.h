#pragma once

#include <boost/system/result.hpp>
#include <string>
#include <string_view>

namespace guavaspan {

/// What is known about whether a piece of work took effect on its target.
enum class Outcome {
    NotRun,
    Unknown,
    Ran,
};

/// Stable reason for a failure; part of the public API as a string.
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

/// Stage of processing at which an error arose.
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

/// A failure together with the step and the peer at which it arose.
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

/// One line for people: code, step, peer and detail.
std::string describe(const Error&);

}
