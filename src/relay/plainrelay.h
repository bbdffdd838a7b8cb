#pragma once

#include "relay/peerrelay.h"
#include "relay/retrygate.h"
#include "relay/targetconnection.h"

namespace guavaspan {

/// Relays requests whose answers are not streamed.
class PlainRelay {
public:
    explicit PlainRelay(RelayContext& context)
        : m_context(context)
        , m_retryGate(context)
        , m_peerRelay(context)
    {
    }

    Awaitable<RelayResult> run(RelayRequest&);

private:
    struct Attempt;

    Awaitable<Attempt> attempt(RelayRequest&, const Placement&, bool mayRetry);
    void reportToGuards(const RelayRequest&, const TargetEntry&, const Attempt&, bool onTrial, TimePoint now);
    static TrialEnd trialEndOf(const Attempt&, TimePoint now);
    Awaitable<RelayResult> refuse(RelayRequest&, RelayResult, SendRefusal, bool mayHaveRun);
    Awaitable<RelayResult> deliverAnswer(RelayRequest&, Attempt, RelayResult);
    Awaitable<RelayResult> respondWithError(RelayRequest&, RelayResult, bool mayHaveRun);
    bool tryTakeRetry(const RelayRequest&, RetryCause);

    RelayContext& m_context;
    RetryGate m_retryGate;
    PeerRelay m_peerRelay;
};

}
