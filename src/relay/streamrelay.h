#pragma once

#include "relay/generationstarter.h"
#include "relay/peerrelay.h"
#include "relay/streamend.h"

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
        /// The engine's stream ended, and only the engine knows whether the generation was complete.
        Ambiguous,
        CallerGone,
        DeadlineReached,
        OutOfOrder,
        /// The engine sent bytes that are no answer.
        Malformed,
    };

    enum class ResumeResult {
        Resumed,
        /// The generation was not stopped for a move.
        NoMove,
        /// No engine resumed the generation.
        Failed,
    };

    Awaitable<> takeShare(const GenerationSession&, const TargetEntry&);
    Awaitable<ResumeResult> resume(GenerationSession&);
    Awaitable<StreamOutcome> relayGeneration(GenerationSession&);
    Awaitable<StreamOutcome> relayEvents(GenerationSession&);
    Awaitable<StreamOutcome> forwardFrames(GenerationSession&);
    void recordPace(GenerationSession&, int events, TimePoint now);
    void chargeDelivered(GenerationSession&);
    Awaitable<> finish(GenerationSession&, StreamOutcome);
    Awaitable<> respondUnstarted(GenerationSession&);
    static std::string reasonFor(StreamOutcome);
    static StreamOutcome outcomeOf(const Error&);
    static StreamOutcome outcomeOf(StreamVerdict);

    RelayContext& m_context;
    GenerationStarter m_starter;
    PeerRelay m_peerRelay;
};

}
