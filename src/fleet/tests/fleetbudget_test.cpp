#include "dispatch/retrybudget.h"
#include "fleet/fleetcensus.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <memory>
#include <numeric>
#include <random>
#include <set>

using namespace guavaspan;

namespace {

constexpr auto step = Milliseconds(50);
constexpr auto window = Milliseconds(10000);
constexpr int fleetAllowance = 52;
constexpr auto leaseTtl = Milliseconds(10000);
constexpr auto renewInterval = Milliseconds(3000);
constexpr auto registrationRetryInterval = Milliseconds(700);
constexpr auto viewInterval = Milliseconds(500);
/// Time from a read of the registry until an instance that follows another one has its result.
constexpr auto maxViewDelay = Milliseconds(800);
/// Time that a retry waits for a target and a connection.
constexpr auto maxSendDelay = Milliseconds(2000);

struct Span {
    Milliseconds from { 0 };
    Milliseconds to { 0 };

    bool contains(Milliseconds time) const { return from <= time && time < to; }
};

bool anyContains(const std::vector<Span>& spans, Milliseconds time)
{
    return std::any_of(spans.begin(), spans.end(), [&](const Span& span) { return span.contains(time); });
}

struct ProcessOutage {
    int instance = 0;
    Span span;
};

struct StoreOutage {
    Span span;
    /// Instances that cannot reach the store; empty if none can.
    std::set<int> instances;
    /// All leases have expired when the store is back; otherwise they were paused.
    bool leasesExpire = false;
};

struct FleetScenario {
    unsigned seed = 1;
    int instances = 6;
    double retryRatio = 0.2;
    double requestsPerSecond = 45;
    Milliseconds length { 70000 };
    std::vector<ProcessOutage> processOutages;
    std::vector<StoreOutage> storeOutages;
    /// Every attempt fails in these spans, so that each request asks for retries.
    std::vector<Span> failures;
    std::vector<Span> trafficPauses;
};

/// The window in which the fleet's retries exceed the budget the most; negative if none does.
struct BudgetExcess {
    double retriesOverLimit = -1e9;
    int retries = 0;
    double limit = 0;
    Milliseconds windowStart { 0 };
};

/// Instances of one fleet that register in a store, see each other through it and spend one retry budget.
class FleetSimulation {
public:
    explicit FleetSimulation(FleetScenario scenario)
        : m_scenario(std::move(scenario))
        , m_random(m_scenario.seed)
        , m_processes(static_cast<std::size_t>(m_scenario.instances))
        , m_requests(steps(), 0)
        , m_retryArrivals(steps() + static_cast<std::size_t>(maxSendDelay / step) + 1, 0)
    {
    }

    BudgetExcess run()
    {
        for (m_now = Milliseconds(0); m_now < m_scenario.length; m_now += step) {
            expireLeases();
            for (int i = 0; i < m_scenario.instances; ++i)
                stepProcess(i);
            sendRequests();
        }
        return worstWindow();
    }

    int retries() const { return std::accumulate(m_retryArrivals.begin(), m_retryArrivals.end(), 0); }

private:
    struct PendingView {
        Milliseconds readAt { 0 };
        Milliseconds arrivesAt { 0 };
        std::set<std::string> keys;
    };

    struct Process {
        std::string name;
        std::string key;
        FleetCensus census;
        RetryBudget budget;
        /// The process's copy of the registrations, which has no time before it was first read.
        RegistrationView view;
        Milliseconds nextRegistryCall { 0 };
        Milliseconds nextRead { 0 };
        Milliseconds nextCensus { 0 };
        std::vector<PendingView> pendingViews;

        Process(std::string processName, std::string processKey, double retryRatio)
            : name(std::move(processName))
            , key(std::move(processKey))
            , census(name, window)
            , budget({ .ratio = retryRatio, .fleetAllowance = fleetAllowance, .window = window })
        {
        }

        bool tryTakeRetry(Milliseconds now) { return budget.tryTake("writer", census.sharers(BootTime(now)), BootTime(now)).allowed; }
    };

    std::size_t steps() const { return static_cast<std::size_t>(m_scenario.length / step); }

    Milliseconds upTo(Milliseconds limit) { return step * std::uniform_int_distribution<std::int64_t>(0, limit / step)(m_random); }

    bool storeReachable(int instance) const
    {
        return std::none_of(m_scenario.storeOutages.begin(), m_scenario.storeOutages.end(), [&](const StoreOutage& outage) { return outage.span.contains(m_now) && (outage.instances.empty() || outage.instances.count(instance) > 0); });
    }

    void expireLeases()
    {
        for (const auto& outage : m_scenario.storeOutages) {
            if (!outage.instances.empty())
                continue;
            for (auto& [key, expiresAt] : m_leases) {
                if (outage.span.contains(m_now))
                    expiresAt += step;
                if (outage.leasesExpire && outage.span.to == m_now)
                    expiresAt = m_now;
            }
        }
        std::erase_if(m_leases, [&](const auto& lease) { return lease.second <= m_now; });
    }

    void stepProcess(int instance)
    {
        auto& process = m_processes[static_cast<std::size_t>(instance)];
        bool down = std::any_of(m_scenario.processOutages.begin(), m_scenario.processOutages.end(), [&](const ProcessOutage& outage) { return outage.instance == instance && outage.span.contains(m_now); });
        if (down) {
            process.reset();
            return;
        }
        if (!process) {
            auto name = "entry-" + std::to_string(instance);
            process = std::make_unique<Process>(name, name + "/" + std::to_string(m_now.count()), m_scenario.retryRatio);
            process->nextRegistryCall = m_now + upTo(registrationRetryInterval);
            process->nextRead = m_now + upTo(viewInterval);
            process->nextCensus = m_now + upTo(viewInterval);
        }
        bool reachable = storeReachable(instance);
        if (process->nextRegistryCall <= m_now) {
            if (reachable)
                m_leases[process->key] = m_now + leaseTtl;
            process->nextRegistryCall = m_now + (reachable ? renewInterval : registrationRetryInterval);
        }
        if (process->nextRead <= m_now) {
            if (reachable)
                process->pendingViews.push_back({ .readAt = m_now, .arrivesAt = m_now + upTo(maxViewDelay), .keys = registeredKeys() });
            process->nextRead = m_now + viewInterval;
        }
        for (const auto& pending : process->pendingViews) {
            if (pending.arrivesAt == m_now)
                process->view = viewOf(pending, process->key);
        }
        std::erase_if(process->pendingViews, [&](const PendingView& pending) { return pending.arrivesAt <= m_now; });
        if (process->nextCensus <= m_now) {
            process->census.onView(process->view, BootTime(m_now));
            process->nextCensus = m_now + viewInterval;
        }
    }

    std::set<std::string> registeredKeys() const
    {
        std::set<std::string> keys;
        for (const auto& [key, expiresAt] : m_leases)
            keys.insert(key);
        return keys;
    }

    static RegistrationView viewOf(const PendingView& pending, const std::string& ownKey)
    {
        RegistrationView view { .includesSelf = pending.keys.count(ownKey) > 0, .confirmedAt = BootTime(pending.readAt) };
        for (const auto& key : pending.keys)
            view.instances.push_back(key.substr(0, key.find('/')));
        return view;
    }

    void sendRequests()
    {
        if (anyContains(m_scenario.trafficPauses, m_now))
            return;
        std::poisson_distribution<int> arrivals(m_scenario.requestsPerSecond * std::chrono::duration<double>(step).count());
        std::vector<Process*> live;
        for (const auto& process : m_processes) {
            if (process)
                live.push_back(process.get());
        }
        constexpr int maxRetriesPerRequest = 2;
        for (int count = arrivals(m_random); count > 0 && !live.empty(); --count) {
            auto& process = *live[std::uniform_int_distribution<std::size_t>(0, live.size() - 1)(m_random)];
            ++m_requests[static_cast<std::size_t>(m_now / step)];
            process.budget.onRequest("writer", BootTime(m_now));
            if (!anyContains(m_scenario.failures, m_now))
                continue;
            for (int retry = 0; retry < maxRetriesPerRequest && process.tryTakeRetry(m_now); ++retry)
                ++m_retryArrivals[static_cast<std::size_t>((m_now + upTo(maxSendDelay)) / step)];
        }
    }

    /// Requests of a window count in that window, the one before it or the one half a window before it,
    /// whichever has most.
    BudgetExcess worstWindow() const
    {
        auto span = static_cast<std::ptrdiff_t>(window / step);
        auto sumOf = [&](const std::vector<int>& counts, std::ptrdiff_t first) {
            auto end = static_cast<std::ptrdiff_t>(counts.size());
            return std::accumulate(counts.begin() + std::clamp<std::ptrdiff_t>(first, 0, end), counts.begin() + std::clamp<std::ptrdiff_t>(first + span, 0, end), 0);
        };
        BudgetExcess worst;
        for (std::ptrdiff_t first = 0; first < static_cast<std::ptrdiff_t>(m_retryArrivals.size()); ++first) {
            int retries = sumOf(m_retryArrivals, first);
            int requests = std::max({ sumOf(m_requests, first), sumOf(m_requests, first - span), sumOf(m_requests, first - span / 2) });
            double limit = m_scenario.retryRatio * requests + fleetAllowance;
            if (retries - limit > worst.retriesOverLimit)
                worst = { .retriesOverLimit = retries - limit, .retries = retries, .limit = limit, .windowStart = first * step };
        }
        return worst;
    }

    FleetScenario m_scenario;
    std::mt19937 m_random;
    Milliseconds m_now { 0 };
    std::vector<std::unique_ptr<Process>> m_processes;
    std::map<std::string, Milliseconds> m_leases;
    std::vector<int> m_requests;
    std::vector<int> m_retryArrivals;
};

constexpr unsigned seeds = 20;
constexpr Span wholeRun { .from = Milliseconds(0), .to = Milliseconds(70000) };

/// Runs one scenario with several seeds, with the allowance alone and with retries per request; `prepare` sets its faults.
template <typename Prepare>
void expectWithinBudget(Prepare prepare)
{
    for (double retryRatio : { 0.0, 0.2 }) {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            std::mt19937 random(1000 + seed);
            FleetScenario scenario { .seed = seed, .retryRatio = retryRatio };
            prepare(scenario, random);
            FleetSimulation simulation(scenario);
            auto worst = simulation.run();
            cr_expect(worst.retriesOverLimit <= 0, "ratio %.1f, seed %u: %d retries in the window from %lld ms, %.1f allowed", retryRatio, seed, worst.retries, static_cast<long long>(worst.windowStart.count()), worst.limit);
            cr_expect(simulation.retries() > 0 || retryRatio == 0, "seed %u", seed);
        }
    }
}

Milliseconds between(std::mt19937& random, int fromMs, int toMs)
{
    return step * std::uniform_int_distribution<int>(fromMs / 50, toMs / 50)(random);
}

void restart(FleetScenario& scenario, int instance, Milliseconds at, Milliseconds downFor)
{
    scenario.processOutages.push_back({ .instance = instance, .span = { .from = at, .to = at + downFor } });
}

}

Test(FleetBudget, noRestarts_retriesStayWithinBudgetAndUseHalfOfIt)
{
    FleetScenario scenario { .failures = { wholeRun } };
    FleetSimulation simulation(scenario);
    auto worst = simulation.run();
    cr_expect(worst.retriesOverLimit <= 0);
    cr_expect(worst.retries >= 0.5 * worst.limit, "%d of %.1f", worst.retries, worst.limit);
}

/// Guards against BUDGET: every new process spends the whole fleet's allowance.
Test(FleetBudget, allInstancesRestartTogether_retriesStayWithinBudget)
{
    expectWithinBudget([](FleetScenario& scenario, std::mt19937& random) {
        scenario.failures = { wholeRun };
        auto at = between(random, 22000, 40000);
        for (int i = 0; i < scenario.instances; ++i)
            restart(scenario, i, at, between(random, 300, 1500));
    });
}

/// Guards against BUDGET: a process spends again what its predecessor spent in the same window.
Test(FleetBudget, instancesRestartInSeries_retriesStayWithinBudget)
{
    expectWithinBudget([](FleetScenario& scenario, std::mt19937& random) {
        scenario.failures = { wholeRun };
        for (auto at = between(random, 5000, 9000); at < scenario.length; at += between(random, 300, 2500))
            restart(scenario, std::uniform_int_distribution<int>(0, scenario.instances - 1)(random), at, between(random, 100, 1000));
    });
}

/// Guards against BUDGET: a failure right before and after a restart of all instances is retried twice over.
Test(FleetBudget, failuresAroundRestartOfAll_retriesStayWithinBudget)
{
    expectWithinBudget([](FleetScenario& scenario, std::mt19937& random) {
        auto at = between(random, 22000, 40000);
        scenario.requestsPerSecond = 120;
        scenario.failures = { { .from = at - Milliseconds(700), .to = at }, { .from = at + between(random, 3000, 8000), .to = at + Milliseconds(12000) } };
        for (int i = 0; i < scenario.instances; ++i)
            restart(scenario, i, at, Milliseconds(200));
    });
}

Test(FleetBudget, instancesStopForever_retriesStayWithinBudget)
{
    expectWithinBudget([](FleetScenario& scenario, std::mt19937& random) {
        scenario.failures = { wholeRun };
        for (int i = 1; i < scenario.instances; ++i)
            restart(scenario, i, between(random, 25000, 27000), wholeRun.to);
    });
}

Test(FleetBudget, fleetGrows_retriesStayWithinBudget)
{
    expectWithinBudget([](FleetScenario& scenario, std::mt19937& random) {
        scenario.instances = 9;
        scenario.failures = { wholeRun };
        for (int i = 3; i < scenario.instances; ++i)
            restart(scenario, i, Milliseconds(0), between(random, 15000, 40000));
    });
}

/// Guards against BUDGET: instances that start while the store is down know only themselves.
Test(FleetBudget, instancesRestartWhileStoreIsDown_retriesStayWithinBudget)
{
    expectWithinBudget([](FleetScenario& scenario, std::mt19937& random) {
        scenario.failures = { wholeRun };
        auto at = between(random, 20000, 30000);
        scenario.storeOutages = { { .span = { .from = at, .to = at + between(random, 4000, 20000) }, .leasesExpire = scenario.seed % 2 == 0 } };
        for (int i = 0; i < scenario.instances; ++i)
            restart(scenario, i, at + between(random, 0, 6000), between(random, 300, 1500));
    });
}

Test(FleetBudget, someInstancesCutOffFromStore_retriesStayWithinBudget)
{
    expectWithinBudget([](FleetScenario& scenario, std::mt19937& random) {
        scenario.failures = { wholeRun };
        auto at = between(random, 20000, 30000);
        scenario.storeOutages = { { .span = { .from = at, .to = at + between(random, 9000, 25000) }, .instances = { 0, 1, 2 } } };
        if (scenario.seed % 2 == 0)
            restart(scenario, 4, at + between(random, 0, 4000), Milliseconds(600));
    });
}

Test(FleetBudget, trafficInBursts_retriesStayWithinBudget)
{
    expectWithinBudget([](FleetScenario& scenario, std::mt19937& random) {
        scenario.failures = { wholeRun };
        scenario.requestsPerSecond = 150;
        for (auto at = between(random, 3000, 8000); at < scenario.length; at += between(random, 3000, 14000))
            scenario.trafficPauses.push_back({ .from = at, .to = at + between(random, 1000, 6000) });
        for (auto at = between(random, 5000, 9000); at < scenario.length; at += between(random, 2000, 12000))
            restart(scenario, std::uniform_int_distribution<int>(0, scenario.instances - 1)(random), at, between(random, 100, 1000));
    });
}
