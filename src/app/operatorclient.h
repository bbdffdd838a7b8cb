#pragma once

#include "net/httpclient.h"

namespace guavaspan {

/// How a command reaches an instance.
struct OperatorAccess {
    Endpoint endpoint;
    std::string key;
};

/// Exit codes of the commands.
enum ExitCode {
    exitSuccess = 0,
    exitFailure = 1,
    exitUsage = 2,
    exitRefused = 3,
    exitUnknown = 4,
};

/// One call to an instance; the outcome is an error if it could not be made.
Result<HttpResponse> callInstance(const OperatorAccess&, const std::string& method, const std::string& target, const std::string& body = {});

}
