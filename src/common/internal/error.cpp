#include "common/error.h"

#include <fmt/format.h>

namespace guavaspan {

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Ran:
        return "ran";
    }
    return "unknown";
}

std::string_view toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::BadRequest:
        return "bad_request";
    case ErrorCode::Unauthorised:
        return "unauthorised";
    case ErrorCode::Forbidden:
        return "forbidden";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::TooLarge:
        return "too_large";
    case ErrorCode::Stale:
        return "stale";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::ConnectFailed:
        return "connect_failed";
    case ErrorCode::LinkBroken:
        return "link_broken";
    case ErrorCode::LinkStalled:
        return "link_stalled";
    case ErrorCode::BadReply:
        return "bad_reply";
    case ErrorCode::Refused:
        return "refused";
    case ErrorCode::Overloaded:
        return "overloaded";
    case ErrorCode::RateLimited:
        return "rate_limited";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::DeadlineExceeded:
        return "deadline_exceeded";
    case ErrorCode::Incomplete:
        return "incomplete";
    case ErrorCode::InProgress:
        return "in_progress";
    case ErrorCode::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorCode::Quarantined:
        return "quarantined";
    case ErrorCode::Stopping:
        return "stopping";
    case ErrorCode::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::string_view toString(Step step)
{
    switch (step) {
    case Step::ReadRequest:
        return "read_request";
    case Step::Authenticate:
        return "authenticate";
    case Step::Validate:
        return "validate";
    case Step::Admit:
        return "admit";
    case Step::Claim:
        return "claim";
    case Step::Connect:
        return "connect";
    case Step::SendRequest:
        return "send_request";
    case Step::ReadReply:
        return "read_reply";
    case Step::Relay:
        return "relay";
    case Step::Resume:
        return "resume";
    case Step::KeyValue:
        return "key_value";
    case Step::Settings:
        return "settings";
    case Step::Peer:
        return "peer";
    }
    return "unknown";
}

std::string describe(const Error& error)
{
    return fmt::format("{} at {}{}{}: {}", toString(error.code), toString(error.step),
        error.peer.empty() ? "" : " with ", error.peer, error.detail);
}

}
