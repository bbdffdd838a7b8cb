#pragma once

#include "bench/internal/promisesreport.h"
#include "bench/promises.h"
#include "common/random.h"
#include "net/nettypes.h"

#include <set>

namespace guavaspan::bench {

/// Strikes the processes with seeded faults, several at once.
class FaultInjector {
public:
    FaultInjector(asio::io_context&, const PromisesOptions&, PromisesReport&, Random);

    Awaitable<> run(TimePoint end);

    /// Ends every fault that is still on.
    Awaitable<> calm();

private:
    Awaitable<> strike();
    Awaitable<> setFault(std::string address, std::string json);
    Awaitable<> withFault(std::string address, std::string on, std::string off, Clock::duration);
    Awaitable<> pause(std::string pidFile, Clock::duration);
    void signal(const std::string& pidFile, int number);
    const std::string& pick(const std::vector<std::string>&);
    Clock::duration between(int lowMs, int highMs);

    asio::io_context& m_context;
    const PromisesOptions& m_options;
    PromisesReport& m_report;
    Random m_random;
    std::set<int> m_stopping;
};

}
