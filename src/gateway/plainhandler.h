#pragma once

#include "gateway/gatewaycontext.h"
#include "net/httpclient.h"

namespace guavaspan {

/// Carries one call to a plain service; calls that may not be repeated run
/// under a durable claim.
class PlainHandler {
public:
    PlainHandler(GatewayContext&, HttpExchange&);
    Awaitable<> run();

private:
    struct Destination {
        std::string service;
        std::string path;
        bool idempotent = false;
        std::vector<std::string> targets;
    };

    Result<Destination> resolve() const;
    Awaitable<> runIdempotent(Destination);
    Awaitable<> runClaimed(Destination);
    Awaitable<> dispatchClaimed(Destination, ClaimRequest, TimePoint claimedAt);
    Awaitable<Result<HttpResponse>> dispatch(const Destination&, std::size_t attempt);
    Awaitable<> answer(const HttpResponse&);
    Awaitable<> refuse(Error, Clock::duration retryAfter = {});
    HttpCall callTo(const Destination&, std::size_t attempt) const;

    GatewayContext& m_context;
    HttpExchange& m_exchange;
    RequestScope m_scope;
    std::string m_result = "completed";
};

}
