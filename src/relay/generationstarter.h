#pragma once

#include "relay/generationsession.h"
#include "relay/retrygate.h"

namespace guavaspan {

/// Sends generations to engines until one starts them.
class GenerationStarter {
public:
    explicit GenerationStarter(RelayContext& context)
        : m_context(context)
        , m_retryGate(context)
    {
    }

    /// Finds an engine that starts the request. False if none did; session.responseHead may then hold an engine's error.
    Awaitable<bool> start(GenerationSession&);

    /// Sends the request to an engine and reads the header of its answer. True if the engine accepted it.
    Awaitable<bool> open(GenerationSession&, const TargetEntry&, std::optional<Continuation>);

    /// Takes note of a part of an engine's answer.
    void onHeard(GenerationSession&, const TargetEntry&);

    /// Takes note of an engine that ended its answer early or did not send one. Ends the trial if there is one.
    void reportUnanswered(GenerationSession&, const TargetEntry&, bool abandoned);

    WorkEstimate estimateOf(const RelayRequest&) const;

private:
    void recordStartFailure(const std::string& address, const GenerationSession&);

    RelayContext& m_context;
    RetryGate m_retryGate;
};

}
