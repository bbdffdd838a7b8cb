#pragma once

#include "gateway/gatewaycontext.h"

namespace guavaspan {

/// Returns the status of this instance as JSON.
using StatusProvider = std::function<std::string()>;

/// Dispatches each HTTP request to its handler.
class Gateway {
public:
    Gateway(GatewayContext&, StatusProvider);
    Awaitable<> handle(HttpExchange&);

private:
    Awaitable<> handleHealth(HttpExchange&);
    Awaitable<> handleCompletion(HttpExchange&, bool chat);
    Awaitable<> runCompletion(HttpExchange&, RequestScope&, bool chat);
    Awaitable<> resumeCompletion(HttpExchange&, RequestScope&, const std::string& lastEventId);
    Awaitable<> handleModels(HttpExchange&);
    Awaitable<> sendError(HttpExchange&, const RequestScope&, Error, Clock::duration retryAfter = {});
    /// Returns an error if this instance is stopping or the organisation has reached its limit of
    /// concurrent requests.
    std::optional<Error> checkAdmission(const RequestScope&) const;

    GatewayContext& m_context;
    StatusProvider m_statusProvider;
};

}
