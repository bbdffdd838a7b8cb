#pragma once

#include "net/httpclient.h"

namespace guavaspan {

/// How a command reaches an instance.
struct InstanceAccess {
    Endpoint endpoint;
    std::string key;
};

/// Exit codes of the commands.
enum ExitCode {
    ExitSuccess = 0,
    ExitFailure = 1,
    ExitUsage = 2,
    ExitRefused = 3,
    ExitOutcomeUnknown = 4,
};

/// One call to an instance; the outcome is an error if it could not be made.
Result<HttpResponse> callInstance(const InstanceAccess&, const std::string& method, const std::string& target, const std::string& body = {});

}
