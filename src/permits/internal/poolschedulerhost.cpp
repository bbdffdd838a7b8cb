#include "permits/poolschedulerhost.h"

#include "common/log.h"
#include "net/eventloop.h"

namespace guavaspan {

namespace {

    constexpr auto tickInterval = Milliseconds(50);
    // Holders renew their permits every few seconds; three missed renewals end a permit.
    constexpr auto renewalTimeout = Seconds(16);
    constexpr auto idlePoolTimeout = Seconds(10);

    PoolSchedulerOptions schedulerOptions(const SchedulingSettings& settings)
    {
        return settings.profile == SchedulingProfile::PreemptionsFirst ? preemptionsFirstOptions() : stallsFirstOptions();
    }

    BaselineRouter::Policy baselinePolicy(SchedulingPolicy policy, Random& random)
    {
        if (policy == SchedulingPolicy::LeastReported)
            return LeastReportedPolicy {};
        if (policy == SchedulingPolicy::TwoChoices)
            return TwoChoicesPolicy { .random = Random(random()) };
        return RoundRobinPolicy { .nextIndex = static_cast<std::size_t>(random() % 1024) };
    }

    PermitId permitIdOf(const SchedulingAction& action)
    {
        return std::visit([](const auto& decision) { return decision.id; }, action);
    }

}

PoolSchedulerHost::PoolSchedulerHost(asio::io_context& context, EngineDirectory& directory, SchedulingSettings settings, std::uint64_t seed)
    : m_context(context)
    , m_directory(directory)
    , m_settings(settings)
    , m_random(seed)
{
}

void PoolSchedulerHost::start()
{
    asio::co_spawn(m_context, tickLoop(), reportFailedHandler);
    asio::co_spawn(m_context, pollLoop(), reportFailedHandler);
}

PoolSchedulerHost::Pool& PoolSchedulerHost::poolFor(const std::string& model)
{
    auto [entry, created] = m_pools.try_emplace(model);
    auto& pool = entry->second;
    if (created) {
        auto engines = m_directory.enginesForModel(model);
        if (m_settings.policy == SchedulingPolicy::Granter) {
            pool.scheduler.emplace(schedulerOptions(m_settings));
            pool.scheduler->setEngines(engines);
        } else {
            pool.baselineRouter.emplace(baselinePolicy(m_settings.policy, m_random));
        }
    }
    // The engines of an idle pool are not polled, so their load reports are outdated.
    if (pool.lastUsed + idlePoolTimeout < Clock::now()) {
        for (const auto& engine : m_directory.enginesForModel(model))
            asio::co_spawn(m_context, pollEngine(model, engine.name), reportFailedHandler);
    }
    pool.lastUsed = Clock::now();
    return pool;
}

void PoolSchedulerHost::refreshEngines()
{
    for (auto& [model, pool] : m_pools) {
        if (pool.scheduler)
            pool.scheduler->setEngines(m_directory.enginesForModel(model));
    }
}

void PoolSchedulerHost::dispatchActions(Pool& pool)
{
    if (!pool.scheduler)
        return;
    for (const auto& action : pool.scheduler->takeActions()) {
        auto found = pool.decisionHandlers.find(permitIdOf(action));
        if (found == pool.decisionHandlers.end())
            continue;
        auto handler = found->second;
        if (std::holds_alternative<Refusal>(action))
            pool.decisionHandlers.erase(found);
        handler(action);
    }
}

void PoolSchedulerHost::placeWithBaseline(Pool& pool, const PermitRequest& request, const std::string& model, const PermitDecisionHandler& onDecision)
{
    std::vector<std::string> names;
    for (const auto& engine : m_directory.enginesForModel(model)) {
        const auto& excluded = request.excludedEngines;
        if (engine.accepting && std::find(excluded.begin(), excluded.end(), engine.name) == excluded.end())
            names.push_back(engine.name);
    }
    if (names.empty()) {
        onDecision(Refusal { .id = request.id, .code = ErrorCode::Unavailable, .retryAfter = Seconds(1) });
        return;
    }
    pool.baselineRouter->setEngines(std::move(names));
    onDecision(Grant { .id = request.id, .engine = pool.baselineRouter->choose() });
}

void PoolSchedulerHost::request(const std::string& model, PermitRequest request, PermitDecisionHandler onDecision)
{
    auto& pool = poolFor(model);
    if (pool.baselineRouter) {
        placeWithBaseline(pool, request, model, onDecision);
        return;
    }
    pool.decisionHandlers[request.id] = std::move(onDecision);
    pool.scheduler->onRequest(std::move(request), Clock::now());
    dispatchActions(pool);
}

void PoolSchedulerHost::adopt(const std::string& model, PermitRequest request, const std::string& engine, int producedTokens, PermitDecisionHandler onDecision)
{
    auto& pool = poolFor(model);
    if (!pool.scheduler)
        return;
    pool.decisionHandlers[request.id] = std::move(onDecision);
    pool.scheduler->adopt(std::move(request), engine, producedTokens, Clock::now());
}

void PoolSchedulerHost::withdraw(const std::string& model, const PermitId& id)
{
    auto& pool = poolFor(model);
    if (!pool.scheduler)
        return;
    pool.decisionHandlers.erase(id);
    pool.scheduler->onWithdrawn(id, Clock::now());
    dispatchActions(pool);
}

void PoolSchedulerHost::progress(const std::string& model, const PermitId& id, int producedTokens, bool preempted)
{
    auto& pool = poolFor(model);
    if (!pool.scheduler)
        return;
    pool.scheduler->onProgress(id, producedTokens, preempted, Clock::now());
    dispatchActions(pool);
}

void PoolSchedulerHost::finish(const std::string& model, const PermitId& id, int producedTokens, GenerationOutcome outcome)
{
    auto& pool = poolFor(model);
    if (!pool.scheduler)
        return;
    pool.decisionHandlers.erase(id);
    pool.scheduler->onFinished(id, producedTokens, outcome, Clock::now());
    dispatchActions(pool);
}

std::vector<std::uint64_t> PoolSchedulerHost::renew(const PermitRenewal& renewal)
{
    std::vector<std::uint64_t> unknown;
    auto& pool = poolFor(renewal.model);
    for (const auto& [sequence, producedTokens] : renewal.permits) {
        PermitId id { .instance = renewal.instance, .sequence = sequence };
        if (pool.scheduler && !pool.scheduler->onRenewed(id, producedTokens, Clock::now()))
            unknown.push_back(sequence);
    }
    return unknown;
}

std::size_t PoolSchedulerHost::waiting() const
{
    std::size_t count = 0;
    for (const auto& [model, pool] : m_pools)
        count += pool.scheduler ? pool.scheduler->waiting() : 0;
    return count;
}

std::size_t PoolSchedulerHost::running() const
{
    std::size_t count = 0;
    for (const auto& [model, pool] : m_pools)
        count += pool.scheduler ? pool.scheduler->running() : 0;
    return count;
}

Awaitable<> PoolSchedulerHost::tickLoop()
{
    while (true) {
        co_await sleepFor(tickInterval);
        for (auto& [model, pool] : m_pools) {
            if (!pool.scheduler)
                continue;
            pool.scheduler->expireUnrenewed(Clock::now() - renewalTimeout, Clock::now());
            pool.scheduler->onTick(Clock::now());
            dispatchActions(pool);
        }
    }
}

Awaitable<> PoolSchedulerHost::pollLoop()
{
    while (true) {
        co_await sleepFor(m_settings.loadPollInterval);
        for (auto& [model, pool] : m_pools) {
            if (pool.lastUsed + idlePoolTimeout < Clock::now())
                continue;
            for (const auto& engine : m_directory.enginesForModel(model))
                asio::co_spawn(m_context, pollEngine(model, engine.name), reportFailedHandler);
        }
    }
}

Awaitable<> PoolSchedulerHost::pollEngine(std::string model, std::string name)
{
    auto engine = m_directory.engine(name);
    auto& pool = m_pools.at(model);
    if (!engine || !pool.enginesBeingPolled.insert(name).second)
        co_return;
    auto report = co_await engine->fetchLoad();
    if (report && pool.scheduler)
        pool.scheduler->onLoadReport(name, *report, Clock::now());
    if (report && pool.baselineRouter)
        pool.baselineRouter->onLoadReport(name, *report);
    if (pool.scheduler) {
        auto& lastSequence = pool.lastCacheSequence[name];
        auto cacheEvents = co_await engine->fetchCacheEvents(lastSequence);
        if (cacheEvents) {
            // The first reply starts in the middle of the event history, so a gap in it does not mean lost events.
            if (cacheEvents->gap && lastSequence > 0)
                pool.scheduler->onCacheEventsLost(name);
            for (auto block : cacheEvents->stored)
                pool.scheduler->onCacheEvent(name, block, true);
            for (auto block : cacheEvents->removed)
                pool.scheduler->onCacheEvent(name, block, false);
            lastSequence = cacheEvents->lastSequence;
        }
    }
    pool.enginesBeingPolled.erase(name);
}

}
