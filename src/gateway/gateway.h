#pragma once

#include "gateway/gatewaycontext.h"

namespace guavaspan {

/// What an operator can ask an instance about itself, as JSON.
using StatusProvider = std::function<std::string()>;

/// Routes each request to its handler.
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
    std::optional<Error> checkAdmission(const RequestScope&) const;

    GatewayContext& m_context;
    StatusProvider m_statusProvider;
};

}
