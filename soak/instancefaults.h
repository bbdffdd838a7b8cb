#pragma once

#include "soak/faultcontext.h"

#include <functional>

namespace guavaspan::soak {

/// Stops, freezes and restarts instances.
class InstanceFaults {
public:
    /// The coroutine keeps the store silent for some seconds.
    InstanceFaults(FaultContext& context, std::function<Awaitable<>()> silenceStore)
        : m_context(context)
        , m_silenceStore(std::move(silenceStore))
    {
    }

    Awaitable<> restartEndedInstances();

    /// Starts a planned stop unless one is in progress.
    bool startStop(Deployment::Instance&);

    /// Restarts all instances in turn or at once, or one several times; the operations may overlap.
    Awaitable<> stopInstancesPeriodically();

    /// Freezes instances around their stops.
    Awaitable<> freezeInstancesPeriodically();

private:
    Awaitable<> restartInstance(Deployment::Instance&);
    Awaitable<> stopInstance(Deployment::Instance&);
    Awaitable<> stopInstancesInTurn(Milliseconds interval);
    Awaitable<> stopAgainAfterRestart(Deployment::Instance&);
    Awaitable<> freezeAroundStop(Deployment::Instance&);
    Awaitable<> signalDuringStop(Deployment::Instance&, int signalNumber);

    FaultContext& m_context;
    std::function<Awaitable<>()> m_silenceStore;
};

}
