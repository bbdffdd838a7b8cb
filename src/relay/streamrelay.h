#pragma once

#include "relay/eventframes.h"
#include "relay/relaycontext.h"
#include "relay/targetconnection.h"

namespace guavaspan {

/// Relays generations event by event, over moves between engines.
class StreamRelay {
public:
    explicit StreamRelay(RelayContext& context)
        : m_context(context)
    {
    }

    Awaitable<RelayResult> run(RelayRequest&);

private:
    struct Session;
    enum class Verdict {
        Complete,
        /// The engine's stream ended or broke before its end.
        Interrupted,
        CallerGone,
        LimitReached,
        OutOfOrder,
    };

    Awaitable<bool> begin(Session&);
    Awaitable<bool> open(Session&, const TargetEntry&, std::optional<Continuation>);
    Awaitable<bool> resume(Session&);
    Awaitable<Verdict> relayEvents(Session&);
    Awaitable<Verdict> forwardFrames(Session&);
    Awaitable<> finish(Session&, Verdict);
    Awaitable<> refuseUnstarted(Session&);
    void noteFailedBegin(const std::string& address, const TargetAnswer&);
    WorkEstimate estimateOf(const RelayRequest&) const;
    static std::string wordFor(Verdict);

    RelayContext& m_context;
};

}
