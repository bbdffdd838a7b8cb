#pragma once

#include "relay/eventframeparser.h"
#include "relay/peerrelay.h"
#include "relay/retrygate.h"
#include "relay/targetconnection.h"

namespace guavaspan {

/// Relays generations event by event and resumes them when they move between engines.
class StreamRelay {
public:
    explicit StreamRelay(RelayContext& context)
        : m_context(context)
        , m_retryGate(context)
        , m_peerRelay(context)
    {
    }

    Awaitable<RelayResult> run(RelayRequest&);

private:
    struct Session;
    enum class StreamOutcome {
        Complete,
        /// The engine's stream broke or ended before the generation was complete.
        Interrupted,
        CallerGone,
        DeadlineReached,
        OutOfOrder,
        /// The engine sent bytes that are no answer.
        Malformed,
    };

    Awaitable<bool> start(Session&);
    Awaitable<bool> open(Session&, const TargetEntry&, std::optional<Continuation>);
    Awaitable<bool> resume(Session&);
    Awaitable<StreamOutcome> relayEvents(Session&);
    Awaitable<StreamOutcome> forwardFrames(Session&);
    Awaitable<> finish(Session&, StreamOutcome);
    Awaitable<> respondUnstarted(Session&);
    void onHeard(Session&, const TargetEntry&);
    void reportUnanswered(Session&, const TargetEntry&, bool abandoned);
    void recordStartFailure(const std::string& address, const Session&);
    WorkEstimate estimateOf(const RelayRequest&) const;
    static std::string reasonFor(StreamOutcome);
    static StreamOutcome outcomeOf(const Error&);

    RelayContext& m_context;
    RetryGate m_retryGate;
    PeerRelay m_peerRelay;
};

}
