#pragma once

#include "engines/enginedirectory.h"
#include "permits/permitmessages.h"
#include "scheduling/baselinerouter.h"
#include "scheduling/poolscheduler.h"
#include "settings/settings.h"

#include <map>
#include <memory>

namespace guavaspan {

/// Called with each decision about one permit.
using PermitDecisionHandler = std::function<void(const SchedulingAction&)>;

/// Runs one scheduler per model on this instance and supplies it with timer
/// ticks, load reports and cache events.
class PoolSchedulerHost {
public:
    PoolSchedulerHost(asio::io_context&, EngineDirectory&, SchedulingSettings, std::uint64_t seed);

    void start();
    void request(const std::string& model, PermitRequest, PermitDecisionHandler);
    void adopt(const std::string& model, PermitRequest, const std::string& engine, int producedTokens, PermitDecisionHandler);
    void withdraw(const std::string& model, const PermitId&);
    void progress(const std::string& model, const PermitId&, int producedTokens, bool preempted);
    /// Renews the named permits; returns the sequence numbers of unknown ones.
    std::vector<std::uint64_t> renew(const PermitRenewal&);
    void finish(const std::string& model, const PermitId&, int producedTokens, GenerationOutcome);

    /// Applies changed targets; draining engines receive no new generations.
    void refreshEngines();

    std::size_t waiting() const;
    std::size_t running() const;

private:
    struct Pool {
        std::optional<PoolScheduler> scheduler;
        std::optional<BaselineRouter> baselineRouter;
        std::map<PermitId, PermitDecisionHandler> decisionHandlers;
        std::map<std::string, std::uint64_t> lastCacheSequence;
        std::set<std::string> enginesBeingPolled;
        TimePoint lastUsed;
    };

    Pool& poolFor(const std::string& model);
    void dispatchActions(Pool&);
    void placeWithBaseline(Pool&, const PermitRequest&, const std::string& model, const PermitDecisionHandler&);
    Awaitable<> tickLoop();
    Awaitable<> pollLoop();
    Awaitable<> pollEngine(std::string model, std::string engine);

    asio::io_context& m_context;
    EngineDirectory& m_directory;
    SchedulingSettings m_settings;
    Random m_random;
    std::map<std::string, Pool> m_pools;
};

}
