#pragma once

#include "soak/deployment.h"

namespace guavaspan::soak {

/// Injects faults and planned operations into a deployment, replaces processes that ended, and records what
/// was disturbed when.
class FaultInjector {
public:
    FaultInjector(asio::io_context&, const SoakOptions&, Deployment&, Random&, SoakRecord&);

    void start();

    /// Starts no further fault; those in progress still end.
    void stopInjecting() { m_injecting = false; }

    /// Leaves ended processes as they are.
    void stopRestarting() { m_restarting = false; }

    bool injecting() const { return m_injecting; }
    const std::map<std::string, int>& faultCounts() const { return m_faultCounts; }

private:
    Awaitable<> restartEndedInstances();
    Awaitable<> restartInstance(Deployment::Instance&);
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
    Awaitable<> stopInstance(Deployment::Instance&);
    bool startStop(Deployment::Instance&);
    Awaitable<> stopInstancesPeriodically();
    Awaitable<> stopInstancesInTurn(Milliseconds interval);
    Awaitable<> stopAgainAfterRestart(Deployment::Instance&);
    Awaitable<> freezeInstancesPeriodically();
    Awaitable<> freezeAroundStop(Deployment::Instance&);
    Awaitable<> signalDuringStop(Deployment::Instance&, int signalNumber);
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
    void recordDisturbance(const std::string& subject, SoakTime startedAt, SoakTime endedAt, bool planned = false);
    Milliseconds randomDuration(int minMilliseconds, int maxMilliseconds);

    asio::io_context& m_io;
    const SoakOptions& m_options;
    Deployment& m_deployment;
    Random& m_random;
    SoakRecord& m_record;
    std::map<std::string, int> m_faultCounts;
    bool m_injecting = true;
    bool m_restarting = true;
};

}
