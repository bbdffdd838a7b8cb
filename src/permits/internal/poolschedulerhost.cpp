#include "permits/poolschedulerhost.h"

#include "common/log.h"

namespace guavaspan {

namespace {

    constexpr auto tickInterval = Milliseconds(50);
    // Holders name their permits every few seconds; three misses end a permit.
    constexpr auto renewalTimeout = Seconds(16);
    constexpr auto idlePoolTimeout = Seconds(10);

    PoolSchedulerOptions schedulerOptions(const SchedulingSettings& settings)
    {
        return settings.profile == SchedulingProfile::PreemptionsFirst ? preemptionsFirstOptions() : stallsFirstOptions();
    }

    BaselineRouter::Policy baselinePolicy(SchedulingPolicy policy, Random& random)
    {
        if (policy == SchedulingPolicy::LeastReported)
            return LeastReportedRouter {};
        if (policy == SchedulingPolicy::TwoChoices)
            return TwoChoicesRouter { .random = Random(random()) };
        return RoundRobinRouter { .nextIndex = static_cast<std::size_t>(random() % 1024) };
    }

    PermitId idOf(const SchedulingAction& action)
    {
        return std::visit([](const auto& each) { return each.id; }, action);
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
    asio::co_spawn(m_context, tickLoop(), asio::detached);
    asio::co_spawn(m_context, pollLoop(), asio::detached);
}

PoolSchedulerHost::Pool& PoolSchedulerHost::pool(const std::string& model)
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
    // A pool that wakes up needs fresh reports before it can judge well.
    if (pool.lastUsed + idlePoolTimeout < Clock::now()) {
        for (const auto& engine : m_directory.enginesForModel(model))
            asio::co_spawn(m_context, pollEngine(model, engine.name), asio::detached);
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
        auto sink = pool.decisionHandlers.find(idOf(action));
        if (sink == pool.decisionHandlers.end())
            continue;
        auto call = sink->second;
        if (std::holds_alternative<Refusal>(action))
            pool.decisionHandlers.erase(sink);
        call(action);
    }
}

void PoolSchedulerHost::placeWithBaseline(Pool& pool, const PermitRequest& request, const std::string& model, const PermitDecisionHandler& sink)
{
    std::vector<std::string> names;
    for (const auto& engine : m_directory.enginesForModel(model)) {
        const auto& excluded = request.excludedEngines;
        if (engine.accepting && std::find(excluded.begin(), excluded.end(), engine.name) == excluded.end())
            names.push_back(engine.name);
    }
    if (names.empty()) {
        sink(Refusal { .id = request.id, .code = ErrorCode::Unavailable, .retryAfter = Seconds(1) });
        return;
    }
    pool.baselineRouter->setEngines(std::move(names));
    sink(Grant { .id = request.id, .engine = pool.baselineRouter->choose() });
}

void PoolSchedulerHost::request(const std::string& model, PermitRequest request, PermitDecisionHandler sink)
{
    auto& target = pool(model);
    if (target.baselineRouter) {
        placeWithBaseline(target, request, model, sink);
        return;
    }
    target.decisionHandlers[request.id] = std::move(sink);
    target.scheduler->onRequest(std::move(request), Clock::now());
    dispatchActions(target);
}

void PoolSchedulerHost::adopt(const std::string& model, PermitRequest request, const std::string& engine, int produced, PermitDecisionHandler sink)
{
    auto& target = pool(model);
    if (!target.scheduler)
        return;
    target.decisionHandlers[request.id] = std::move(sink);
    target.scheduler->adopt(std::move(request), engine, produced, Clock::now());
}

void PoolSchedulerHost::withdraw(const std::string& model, const PermitId& id)
{
    auto& target = pool(model);
    if (!target.scheduler)
        return;
    target.decisionHandlers.erase(id);
    target.scheduler->onWithdrawn(id, Clock::now());
    dispatchActions(target);
}

void PoolSchedulerHost::progress(const std::string& model, const PermitId& id, int produced, bool preempted)
{
    auto& target = pool(model);
    if (!target.scheduler)
        return;
    target.scheduler->onProgress(id, produced, preempted, Clock::now());
    dispatchActions(target);
}

void PoolSchedulerHost::finish(const std::string& model, const PermitId& id, int produced, GenerationOutcome kind)
{
    auto& target = pool(model);
    if (!target.scheduler)
        return;
    target.decisionHandlers.erase(id);
    target.scheduler->onFinished(id, produced, kind, Clock::now());
    dispatchActions(target);
}

std::vector<std::uint64_t> PoolSchedulerHost::held(const PermitRenewal& message)
{
    std::vector<std::uint64_t> unknown;
    auto& target = pool(message.model);
    for (const auto& [sequence, produced] : message.held) {
        PermitId id { .instance = message.instance, .sequence = sequence };
        if (target.scheduler && !target.scheduler->onRenewed(id, produced, Clock::now()))
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
        co_await sleepFor(m_settings.loadPoll);
        for (auto& [model, pool] : m_pools) {
            if (pool.lastUsed + idlePoolTimeout < Clock::now())
                continue;
            for (const auto& engine : m_directory.enginesForModel(model))
                asio::co_spawn(m_context, pollEngine(model, engine.name), asio::detached);
        }
    }
}

Awaitable<> PoolSchedulerHost::pollEngine(std::string model, std::string name)
{
    auto engine = m_directory.engine(name);
    auto& target = m_pools.at(model);
    if (!engine || !target.enginesBeingPolled.insert(name).second)
        co_return;
    auto report = co_await engine->load();
    if (report && target.scheduler)
        target.scheduler->onLoadReport(name, *report, Clock::now());
    if (report && target.baselineRouter)
        target.baselineRouter->onLoadReport(name, *report);
    if (target.scheduler) {
        auto& sequence = target.lastCacheSequence[name];
        auto news = co_await engine->fetchCacheEvents(sequence);
        if (news) {
            // The first answer starts in the middle of the history, which is no gap.
            if (news->gap && sequence > 0)
                target.scheduler->onCacheEventsLost(name);
            for (auto block : news->stored)
                target.scheduler->onCacheEvent(name, block, true);
            for (auto block : news->removed)
                target.scheduler->onCacheEvent(name, block, false);
            sequence = news->lastSequence;
        }
    }
    target.enginesBeingPolled.erase(name);
}

}
