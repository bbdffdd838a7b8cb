#pragma once

#include "soak/checks.h"
#include "soak/faultinjector.h"

namespace guavaspan::soak {

/// Starts the entry service's real processes, injects faults while callers send
/// requests, and checks the recorded results against the service's guarantees.
class Soak {
public:
    explicit Soak(SoakOptions);
    Soak(const Soak&) = delete;
    Soak& operator=(const Soak&) = delete;

    /// Returns the violations found.
    std::vector<Violation> run();

    const SoakRecord& record() const { return m_record; }
    const std::map<std::string, int>& faultCounts() const { return m_faultInjector.faultCounts(); }

private:
    Awaitable<> runScenario();
    Awaitable<> readRecordedUsage();
    RequestSpec nextRequest(Random&) const;
    static void varyRequest(RequestSpec&, Random&);
    RequestSpec nextCrashingRequest(Random&) const;
    RequestSpec nextCrashingPrompt(Random&) const;
    SoakTime crashingRequestNumber() const;
    void startVariedCallers();
    void startCaller(CallerOptions);

    SoakOptions m_options;
    asio::io_context m_io { 1 };
    Random m_random;
    SoakRecord m_record;
    Deployment m_deployment;
    FaultInjector m_faultInjector;
    std::vector<std::unique_ptr<Caller>> m_callers;
    SoakTime m_callersStartedAt = 0;
    SoakTime m_faultInjectionEndedAt = 0;
    bool m_callersActive = true;
};

}
