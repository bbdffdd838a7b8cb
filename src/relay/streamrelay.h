#pragma once

#include "relay/generationstarter.h"
#include "relay/peerrelay.h"

namespace guavaspan {

/// Relays generations event by event and resumes them when they move between engines.
class StreamRelay {
public:
    explicit StreamRelay(RelayContext& context)
        : m_context(context)
        , m_starter(context)
        , m_peerRelay(context)
    {
    }

    Awaitable<RelayResult> run(RelayRequest&);

private:
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

    Awaitable<bool> resume(GenerationSession&);
    Awaitable<StreamOutcome> relayEvents(GenerationSession&);
    Awaitable<StreamOutcome> forwardFrames(GenerationSession&);
    Awaitable<> finish(GenerationSession&, StreamOutcome);
    Awaitable<> respondUnstarted(GenerationSession&);
    static std::string reasonFor(StreamOutcome);
    static StreamOutcome outcomeOf(const Error&);

    RelayContext& m_context;
    GenerationStarter m_starter;
    PeerRelay m_peerRelay;
};

}
