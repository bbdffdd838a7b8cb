#pragma once

#include "bench/internal/promisesreport.h"
#include "bench/promises.h"
#include "common/random.h"
#include "net/nettypes.h"

#include <set>

namespace guavaspan::bench {

/// Injects seeded random faults into the processes; several faults can be active at once.
class FaultInjector {
public:
    FaultInjector(asio::io_context&, const PromisesOptions&, PromisesReport&, Random);

    Awaitable<> run(TimePoint end);

    /// Resumes paused processes and clears all faults.
    Awaitable<> clearFaults();

private:
    Awaitable<> injectFault();
    Awaitable<> setFaults(std::string address, std::string faultsJson);
    Awaitable<> injectTemporarily(std::string address, std::string faultsJson, std::string resetJson, Clock::duration);
    Awaitable<> pauseProcess(std::string pidFile, Clock::duration);
    void sendSignal(const std::string& pidFile, int signalNumber);
    const std::string& pickRandom(const std::vector<std::string>&);
    Clock::duration randomDuration(int lowMs, int highMs);

    asio::io_context& m_context;
    const PromisesOptions& m_options;
    PromisesReport& m_report;
    Random m_random;
    std::set<int> m_terminatingPids;
};

}
