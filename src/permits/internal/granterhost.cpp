#include "permits/granterhost.h"

#include "common/log.h"

namespace guavaspan {

namespace {

    constexpr auto tickInterval = Milliseconds(50);
    // Holders name their permits every few seconds; three misses end a permit.
    constexpr auto unheldLimit = Seconds(16);
    constexpr auto idlePoolLimit = Seconds(10);

    PoolSchedulerOptions optionsFor(const SchedulingSettings& settings)
    {
        return settings.profile == SchedulingProfile::PreemptionsFirst ? preemptionsFirstOptions() : stallsFirstOptions();
    }

    BaselineRouter::Policy policyFor(SchedulingPolicy policy, Random& random)
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

GranterHost::GranterHost(asio::io_context& context, EngineDirectory& directory, SchedulingSettings settings, std::uint64_t seed)
    : m_context(context)
    , m_directory(directory)
    , m_settings(settings)
    , m_random(seed)
{
}

void GranterHost::start()
{
    asio::co_spawn(m_context, tickLoop(), asio::detached);
    asio::co_spawn(m_context, pollLoop(), asio::detached);
}

GranterHost::Pool& GranterHost::pool(const std::string& model)
{
    auto [entry, created] = m_pools.try_emplace(model);
    auto& pool = entry->second;
    if (created) {
        auto engines = m_directory.enginesForModel(model);
        if (m_settings.policy == SchedulingPolicy::Granter) {
            pool.granter.emplace(optionsFor(m_settings));
            pool.granter->setEngines(engines);
        } else {
            pool.baseline.emplace(policyFor(m_settings.policy, m_random));
        }
    }
    // A pool that wakes up needs fresh reports before it can judge well.
    if (pool.lastUsed + idlePoolLimit < Clock::now()) {
        for (const auto& engine : m_directory.enginesForModel(model))
            asio::co_spawn(m_context, pollEngine(model, engine.name), asio::detached);
    }
    pool.lastUsed = Clock::now();
    return pool;
}

void GranterHost::refreshEngines()
{
    for (auto& [model, pool] : m_pools) {
        if (pool.granter)
            pool.granter->setEngines(m_directory.enginesForModel(model));
    }
}

void GranterHost::drain(Pool& pool)
{
    if (!pool.granter)
        return;
    for (const auto& action : pool.granter->takeActions()) {
        auto sink = pool.sinks.find(idOf(action));
        if (sink == pool.sinks.end())
            continue;
        auto call = sink->second;
        if (std::holds_alternative<Refusal>(action))
            pool.sinks.erase(sink);
        call(action);
    }
}

void GranterHost::placeByBaseline(Pool& pool, const PermitRequest& request, const std::string& model, const PermitSink& sink)
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
    pool.baseline->setEngines(std::move(names));
    sink(Grant { .id = request.id, .engine = pool.baseline->choose() });
}

void GranterHost::request(const std::string& model, PermitRequest request, PermitSink sink)
{
    auto& target = pool(model);
    if (target.baseline) {
        placeByBaseline(target, request, model, sink);
        return;
    }
    target.sinks[request.id] = std::move(sink);
    target.granter->onRequest(std::move(request), Clock::now());
    drain(target);
}

void GranterHost::adopt(const std::string& model, PermitRequest request, const std::string& engine, int produced, PermitSink sink)
{
    auto& target = pool(model);
    if (!target.granter)
        return;
    target.sinks[request.id] = std::move(sink);
    target.granter->adopt(std::move(request), engine, produced, Clock::now());
}

void GranterHost::withdraw(const std::string& model, const PermitId& id)
{
    auto& target = pool(model);
    if (!target.granter)
        return;
    target.sinks.erase(id);
    target.granter->onWithdrawn(id, Clock::now());
    drain(target);
}

void GranterHost::progress(const std::string& model, const PermitId& id, int produced, bool preempted)
{
    auto& target = pool(model);
    if (!target.granter)
        return;
    target.granter->onProgress(id, produced, preempted, Clock::now());
    drain(target);
}

void GranterHost::finish(const std::string& model, const PermitId& id, int produced, GenerationOutcome kind)
{
    auto& target = pool(model);
    if (!target.granter)
        return;
    target.sinks.erase(id);
    target.granter->onFinished(id, produced, kind, Clock::now());
    drain(target);
}

std::vector<std::uint64_t> GranterHost::held(const PermitsHeld& message)
{
    std::vector<std::uint64_t> unknown;
    auto& target = pool(message.model);
    for (const auto& [sequence, produced] : message.held) {
        PermitId id { .instance = message.instance, .sequence = sequence };
        if (target.granter && !target.granter->onRenewed(id, produced, Clock::now()))
            unknown.push_back(sequence);
    }
    return unknown;
}

std::size_t GranterHost::waiting() const
{
    std::size_t count = 0;
    for (const auto& [model, pool] : m_pools)
        count += pool.granter ? pool.granter->waiting() : 0;
    return count;
}

std::size_t GranterHost::running() const
{
    std::size_t count = 0;
    for (const auto& [model, pool] : m_pools)
        count += pool.granter ? pool.granter->running() : 0;
    return count;
}

Awaitable<> GranterHost::tickLoop()
{
    while (true) {
        co_await sleepFor(tickInterval);
        for (auto& [model, pool] : m_pools) {
            if (!pool.granter)
                continue;
            pool.granter->expireUnrenewed(Clock::now() - unheldLimit, Clock::now());
            pool.granter->onTick(Clock::now());
            drain(pool);
        }
    }
}

Awaitable<> GranterHost::pollLoop()
{
    while (true) {
        co_await sleepFor(m_settings.loadPoll);
        for (auto& [model, pool] : m_pools) {
            if (pool.lastUsed + idlePoolLimit < Clock::now())
                continue;
            for (const auto& engine : m_directory.enginesForModel(model))
                asio::co_spawn(m_context, pollEngine(model, engine.name), asio::detached);
        }
    }
}

Awaitable<> GranterHost::pollEngine(std::string model, std::string name)
{
    auto engine = m_directory.engine(name);
    auto& target = m_pools.at(model);
    if (!engine || !target.polling.insert(name).second)
        co_return;
    auto report = co_await engine->fetchLoad();
    if (report && target.granter)
        target.granter->onLoadReport(name, *report, Clock::now());
    if (report && target.baseline)
        target.baseline->onLoadReport(name, *report);
    if (target.granter) {
        auto& sequence = target.cacheSequence[name];
        auto news = co_await engine->fetchCacheEvents(sequence);
        if (news) {
            // The first answer starts in the middle of the history, which is no gap.
            if (news->gap && sequence > 0)
                target.granter->onCacheEventsLost(name);
            for (auto block : news->stored)
                target.granter->onCacheEvent(name, block, true);
            for (auto block : news->removed)
                target.granter->onCacheEvent(name, block, false);
            sequence = news->lastSequence;
        }
    }
    target.polling.erase(name);
}

}
