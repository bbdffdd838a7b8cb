#pragma once

#include "soak/instancefaults.h"

namespace guavaspan::soak {

/// Injects faults and planned operations into a deployment, replaces processes that ended, and records what
/// was disturbed when.
class FaultInjector {
public:
    FaultInjector(asio::io_context&, const SoakOptions&, Deployment&, Random&, SoakRecord&);

    void start();

    /// Starts no further fault; those in progress still end.
    void stopInjecting() { m_context.injecting = false; }

    /// Leaves ended processes as they are.
    void stopRestarting() { m_context.restarting = false; }

    bool injecting() const { return m_context.injecting; }
    const std::map<std::string, int>& faultCounts() const { return m_context.counts; }

private:
    Awaitable<> limitEnginesPeriodically();
    Awaitable<> limitEngine(Deployment::ManagedEngine&);
    Awaitable<> failRequestsPeriodically();
    Awaitable<> replaceCrashedEngines();
    Awaitable<> pauseEnginesPeriodically();
    Awaitable<> replaceCrashedEngine(Deployment::ManagedEngine&);
    Awaitable<> injectFaultsPeriodically();
    void injectFault();
    void startPlannedOperation();
    void injectUnplannedFault();
    Awaitable<> pauseProcess(std::string name, std::string subject);
    Awaitable<> injectLinkFault(Proxy&, std::string subject);
    Awaitable<> restoreStore();
    Awaitable<> restoreStorePeriodically();
    Awaitable<> evacuate(std::string failureDomain);
    Awaitable<> evacuatePeriodically();
    std::string oddEntry();
    Awaitable<> writeOddEntriesPeriodically();
    Awaitable<> injectStoreFault(std::string fault);
    Awaitable<> silenceStoreDuringStop();
    Awaitable<> killEngine(Deployment::ManagedEngine&);
    Awaitable<> drainEngine(Deployment::ManagedEngine&);
    Awaitable<> replaceEngine(Deployment::ManagedEngine&);

    FaultContext m_context;
    InstanceFaults m_instanceFaults;
};

}
