#pragma once

#include "common/random.h"
#include "soak/caller.h"
#include "soak/checks.h"
#include "soak/childprocesses.h"
#include "soak/proxy.h"

#include <memory>
#include <set>

namespace guavaspan::soak {

struct SoakOptions {
    std::uint64_t seed = 1;
    double faultSeconds = 20;
    int instances = 4;
    int engines = 4;
    int callers = 24;
    /// "all", "planned" or "none".
    std::string faults = "all";
    /// Some callers send requests that crash engines.
    bool crashingRequests = false;
    /// Engines state limits of their requests from time to time.
    bool statedLimits = false;
    /// Path of the program under test.
    std::string program;
    /// Path of this program, which also runs the store and engine processes.
    std::string soakProgram;
    /// Receives logs, settings and records.
    std::string folder;
};

/// Starts the entry service's real processes, injects faults while callers send
/// requests, and checks the recorded results against the service's guarantees.
class Soak {
public:
    explicit Soak(SoakOptions);
    ~Soak();
    Soak(const Soak&) = delete;
    Soak& operator=(const Soak&) = delete;

    /// Returns the violations found.
    std::vector<Violation> run();

    const SoakRecord& record() const { return m_record; }
    const std::map<std::string, int>& faultCounts() const { return m_faultCounts; }

private:
    struct Instance;
    struct ManagedEngine;

    Endpoint allocateEndpoint();
    bool startProcesses();
    bool startInstance(Instance&);
    bool startEngine(ManagedEngine&);
    void writeConfiguration();
    Awaitable<> postToStore(std::string path, std::string body);
    Awaitable<> publishConfiguration();
    Awaitable<> runScenario();
    Awaitable<> readRecordedUsage();
    Awaitable<> restartEndedInstances();
    Awaitable<> limitEnginesPeriodically();
    Awaitable<> limitEngine(ManagedEngine&);
    Awaitable<> replaceCrashedEngines();
    Awaitable<> replaceCrashedEngine(ManagedEngine&);
    Awaitable<> injectFaultsPeriodically();
    void injectFault();
    void startPlannedOperation();
    void injectUnplannedFault();
    Awaitable<> stopInstance(Instance&);
    Awaitable<> pauseProcess(std::string name, std::string subject);
    Awaitable<> injectLinkFault(Proxy&, std::string subject);
    Awaitable<> injectStoreFault(std::string fault);
    Awaitable<> killEngine(ManagedEngine&);
    Awaitable<> drainEngine(ManagedEngine&);
    Awaitable<> replaceEngine(ManagedEngine&);
    Awaitable<> changeConfiguration();
    void recordDisturbance(const std::string& subject, SoakTime startedAt, SoakTime endedAt, bool planned = false);
    Instance& randomInstance();
    Milliseconds randomDuration(int minMilliseconds, int maxMilliseconds);
    RequestSpec nextRequest(Random&) const;
    RequestSpec nextCrashingRequest(Random&) const;
    void startCaller(CallerOptions);
    InstanceEndpoint chooseEndpoint(Random&) const;
    std::string configurationJson() const;

    SoakOptions m_options;
    asio::io_context m_io { 1 };
    Random m_random;
    std::string m_loopbackAddress;
    std::set<std::uint16_t> m_allocatedPorts;
    ChildProcesses m_processes;
    SoakRecord m_record;
    Endpoint m_storeEndpoint;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<std::unique_ptr<ManagedEngine>> m_engines;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::map<std::string, int> m_faultCounts;
    std::int64_t m_configurationVersion = 1;
    int m_lastPathNumber = 0;
    int m_lastEngineNumber = 0;
    std::vector<std::string> m_addedPaths;
    std::map<std::string, std::set<std::string>> m_keysByOrganisation;
    SoakTime m_callersStartedAt = 0;
    SoakTime m_faultInjectionEndedAt = 0;
    bool m_injectingFaults = true;
    bool m_restartingInstances = true;
    bool m_callersActive = true;
};

}
