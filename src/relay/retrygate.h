#pragma once

#include "relay/relaycontext.h"

namespace guavaspan {

/// Why a request is sent once more.
enum class RetryCause {
    /// The target refused the request or could not be reached.
    NotRun,
    /// The target answered with an error.
    FailedAnswer,
    /// The connection broke, or the answer was malformed.
    Broken,
    /// The target did not answer in time.
    TimedOut,
};

std::string_view toString(RetryCause);

/// Asks the retry budget before a request is sent once more, and reports each decision.
class RetryGate {
public:
    explicit RetryGate(RelayContext& context)
        : m_context(context)
    {
    }

    void onRequest(const RelayRequest&);

    /// Takes one retry from the budget of the request's service.
    bool tryTake(const RelayRequest&, RetryCause);

private:
    RelayContext& m_context;
};

}
