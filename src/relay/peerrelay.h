#pragma once

#include "relay/relaycontext.h"
#include "relay/targetconnection.h"

namespace guavaspan {

/// Answer of an instance to a request of a peer that it does not handle: it reaches no target either, or has an older configuration.
inline constexpr unsigned statusNotRelayed = 421;

/// Relays requests to another instance while this one reaches no target. The other instance handles them as those of its own callers:
/// it alone decides on limits, retries and use, and passes them on to targets only.
class PeerRelay {
public:
    explicit PeerRelay(RelayContext& context)
        : m_context(context)
    {
    }

    /// Sends the request, which no target has received, to one peer, and its answer to the caller.
    Awaitable<RelayResult> run(RelayRequest&);

private:
    Awaitable<RelayResult> relayAnswer(RelayRequest&, TargetConnection&, RelayResult);
    Awaitable<RelayResult> relayBody(RelayRequest&, TargetConnection&, RelayResult);
    Awaitable<RelayResult> fail(RelayRequest&, RelayResult);
    Awaitable<RelayResult> refuse(RelayRequest&, RelayResult);

    RelayContext& m_context;
};

}
