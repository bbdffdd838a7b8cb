#pragma once

#include "relay/plainrelay.h"
#include "relay/streamrelay.h"

namespace guavaspan {

/// Routes and relays callers' requests, or refuses them.
class RequestHandler {
public:
    explicit RequestHandler(RelayContext&);

    Awaitable<> handle(HttpExchange&);

private:
    struct Admission;

    Admission admit(const HttpExchange&, const CallerRequest&) const;
    Awaitable<RelayResult> relay(HttpExchange&, const Admission&, const CallerRequest&, TimePoint arrivedAt);
    Awaitable<RelayResult> rejectRequest(HttpExchange&, const Admission&);
    RequestDuration durationOf(const Route&, const CallerRequest&) const;
    void reportResult(const HttpExchange&, const Admission&, const CallerRequest&, const RelayResult&, TimePoint arrivedAt);

    RelayContext& m_context;
    PlainRelay m_plainRelay;
    StreamRelay m_streamRelay;
};

}
