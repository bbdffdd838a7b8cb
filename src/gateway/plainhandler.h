#pragma once

#include "gateway/gatewaycontext.h"
#include "net/httpclient.h"

namespace guavaspan {

/// Forwards one HTTP call to a plain service, which is one that runs no model. A call that must not
/// run twice is made under a durable claim.
class PlainHandler {
public:
    PlainHandler(GatewayContext&, HttpExchange&);
    Awaitable<> run();

private:
    struct ResolvedRoute {
        std::string service;
        std::string path;
        bool idempotent = false;
        std::vector<std::string> targets;
    };

    Result<ResolvedRoute> resolve() const;
    Awaitable<> runIdempotent(ResolvedRoute);
    Awaitable<> runClaimed(ResolvedRoute);
    Awaitable<> dispatchClaimed(ResolvedRoute, ClaimRequest, TimePoint claimedAt);
    Awaitable<Result<HttpResponse>> dispatch(const ResolvedRoute&, std::size_t attempt);
    Awaitable<> sendResponse(const HttpResponse&);
    Awaitable<> sendError(Error, Clock::duration retryAfter = {});
    HttpCall makeCall(const ResolvedRoute&, std::size_t attempt) const;

    GatewayContext& m_context;
    HttpExchange& m_exchange;
    RequestScope m_scope;
    std::string m_result = "completed";
};

}
