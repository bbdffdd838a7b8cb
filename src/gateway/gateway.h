#pragma once

#include "gateway/gatewaycontext.h"

namespace guavaspan {

/// What an operator can ask an instance about itself, as JSON.
using StatusSource = std::function<std::string()>;

/// Routes each request to its handler.
class Gateway {
public:
    Gateway(GatewayContext&, StatusSource);
    Awaitable<> handle(HttpExchange&);

private:
    Awaitable<> handleHealth(HttpExchange&);
    Awaitable<> handleCompletion(HttpExchange&, bool chat);
    Awaitable<> runCompletion(HttpExchange&, RequestScope&, bool chat);
    Awaitable<> resumeCompletion(HttpExchange&, RequestScope&, const std::string& lastEventId);
    Awaitable<> handleModels(HttpExchange&);
    Awaitable<> refuse(HttpExchange&, const RequestScope&, Error, Clock::duration retryAfter = {});
    std::optional<Error> mayStart(const RequestScope&) const;

    GatewayContext& m_context;
    StatusSource m_status;
};

}
