#pragma once

#include "net/httpclient.h"

namespace guavaspan {

/// Address of an instance and the operator's key for it.
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

/// Sends one request to an instance; returns an error if no response arrived.
Result<HttpResponse> callInstance(const InstanceAccess&, const std::string& method, const std::string& target, const std::string& body = {});

}
