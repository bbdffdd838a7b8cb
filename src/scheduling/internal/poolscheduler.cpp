#include "scheduling/poolscheduler.h"

#include <algorithm>
#include <set>

namespace guavaspan {

namespace {

    constexpr double minChargeTokens = 32;
    constexpr int preemptionCandidatePriority = 0;
    constexpr int batchPriority = 1;
    constexpr int interactivePriority = 2;
    constexpr int protectedPriority = 9;
    constexpr double grantRateSmoothing = 0.2;
    constexpr auto minRetryAfter = Seconds(1);

}

std::string_view toString(GrantReason reason)
{
    switch (reason) {
    case GrantReason::PrefixCached:
        return "prefix_cached";
    case GrantReason::LeastLoaded:
        return "least_loaded";
    case GrantReason::Probe:
        return "probe";
    }
    return "least_loaded";
}

PoolSchedulerOptions stallsFirstOptions()
{
    return PoolSchedulerOptions { .maxOverflowRisk = 0.3, .maxOverflowRiskBelowShare = 0.45, .reservedMemoryFraction = 0.01 };
}

PoolSchedulerOptions preemptionsFirstOptions()
{
    return PoolSchedulerOptions { .maxOverflowRisk = 0.2, .maxOverflowRiskBelowShare = 0.3, .reservedMemoryFraction = 0.01 };
}

PoolScheduler::PoolScheduler(PoolSchedulerOptions options)
    : m_options(options)
{
}

void PoolScheduler::setEngines(const std::vector<EngineInfo>& engineInfos)
{
    for (auto& [name, engine] : m_engines)
        engine.inPool = false;
    for (const auto& info : engineInfos) {
        auto& engine = m_engines[info.name];
        engine.info = info;
        engine.inPool = true;
    }
    // A removed engine keeps its record until its last generation has ended.
    std::erase_if(m_engines, [](const auto& entry) { return !entry.second.inPool && entry.second.running.empty(); });
}

PoolEngine* PoolScheduler::findEngine(const PermitId& id)
{
    auto found = m_engineNameByPermit.find(id);
    if (found == m_engineNameByPermit.end())
        return nullptr;
    return &m_engines.at(found->second);
}

/// Idempotent: repeats the grant in case the answer was lost; a waiting request keeps its place in the queue.
void PoolScheduler::onRequest(PermitRequest request, TimePoint now)
{
    if (auto* engine = findEngine(request.id)) {
        m_actions.emplace_back(engine->running.at(request.id).grant);
        return;
    }
    if (m_queue.contains(request.id))
        return;
    m_queue.push(std::move(request), now);
    while (m_queue.size() > m_options.maxWaiting)
        refuse(*m_queue.shed(), ErrorCode::Overloaded);
    scheduleWaiting(now);
}

void PoolScheduler::onWithdrawn(const PermitId& id, TimePoint now)
{
    if (!m_queue.withdraw(id))
        onFinished(id, 0, GenerationOutcome::Cancelled, now);
}

void PoolScheduler::chargeGrowth(GrantedGeneration& generation, int producedTokens)
{
    const auto& request = generation.request;
    if (producedTokens <= generation.producedTokens)
        return;
    m_lengthModel.observeGrowth(request.service, request.organisation, generation.producedTokens, producedTokens);
    m_queue.charge(request.organisation, producedTokens - generation.producedTokens);
    generation.producedTokens = producedTokens;
    generation.estimatedTokens = std::max<double>(generation.estimatedTokens, producedTokens);
}

void PoolScheduler::onProgress(const PermitId& id, int producedTokens, bool preempted, TimePoint now)
{
    auto* engine = findEngine(id);
    if (!engine)
        return;
    auto& generation = engine->running.at(id);
    chargeGrowth(generation, producedTokens);
    generation.estimatedTokens = producedTokens;
    generation.reportedAt = now;
    generation.renewedAt = now;
    if (!preempted) {
        engine->preemptedIds.erase(id);
        return;
    }
    engine->preemptedIds.insert(id);
    if (engine->preemptionCandidate == id)
        engine->preemptionCandidate.reset();
    ++generation.preemptions;
    m_actions.emplace_back(SetPriority { .id = id, .priority = protectedPriority });
}

void PoolScheduler::onFinished(const PermitId& id, int producedTokens, GenerationOutcome outcome, TimePoint now)
{
    auto* engine = findEngine(id);
    if (!engine)
        return;
    auto generation = engine->running.at(id);
    chargeGrowth(generation, producedTokens);
    if (outcome == GenerationOutcome::Completed) {
        m_lengthModel.observeEnd(generation.request.service, generation.request.organisation, producedTokens);
        engine->health.onSuccess(now);
    } else if (outcome == GenerationOutcome::EngineFailed) {
        engine->health.onFailure(now);
    }
    engine->running.erase(id);
    engine->preemptedIds.erase(id);
    engine->sharedPrefixes.remove(generation.request.prefixBlocks);
    m_engineNameByPermit.erase(id);
    m_queue.onEnded(generation.request.organisation);
    rebuildProfile(*engine);
    scheduleWaiting(now);
}

bool PoolScheduler::onRenewed(const PermitId& id, int producedTokens, TimePoint now)
{
    auto* engine = findEngine(id);
    if (!engine)
        return m_queue.contains(id);
    auto& generation = engine->running.at(id);
    generation.renewedAt = now;
    chargeGrowth(generation, producedTokens);
    generation.estimatedTokens = producedTokens;
    return true;
}

void PoolScheduler::expireUnrenewed(TimePoint renewedSince, TimePoint now)
{
    std::vector<PermitId> expiredIds;
    for (const auto& [name, engine] : m_engines) {
        for (const auto& [id, generation] : engine.running) {
            if (generation.renewedAt < renewedSince)
                expiredIds.push_back(id);
        }
    }
    for (const auto& id : expiredIds)
        onFinished(id, 0, GenerationOutcome::Cancelled, now);
}

void PoolScheduler::adopt(PermitRequest request, const std::string& engineName, int producedTokens, TimePoint now)
{
    auto found = m_engines.find(engineName);
    if (found == m_engines.end() || m_engineNameByPermit.contains(request.id))
        return;
    GrantedGeneration generation { .request = std::move(request), .producedTokens = producedTokens, .estimatedTokens = static_cast<double>(producedTokens), .grantedAt = now, .reportedAt = now, .renewedAt = now };
    generation.grant = { .id = generation.request.id, .engine = engineName };
    addRunning(found->second, std::move(generation));
}

void PoolScheduler::onLoadReport(const std::string& name, const LoadReport& report, TimePoint now)
{
    auto found = m_engines.find(name);
    if (found == m_engines.end())
        return;
    auto& engine = found->second;
    engine.onLoadReport(report);
    engine.health.onStepTime(report.stepSeconds, poolMedianStepSeconds(), now);
    rebuildProfile(engine);
}

void PoolScheduler::onCacheEvent(const std::string& name, std::uint64_t block, bool stored)
{
    auto found = m_engines.find(name);
    if (found == m_engines.end())
        return;
    if (stored)
        found->second.prefixIndex.onStored(block);
    else
        found->second.prefixIndex.onRemoved(block);
}

void PoolScheduler::onCacheEventsLost(const std::string& name)
{
    auto found = m_engines.find(name);
    if (found != m_engines.end())
        found->second.prefixIndex.onEventsLost();
}

double PoolScheduler::poolMedianStepSeconds() const
{
    std::vector<double> stepTimes;
    for (const auto& [name, engine] : m_engines) {
        if (engine.report && engine.report->running > 0)
            stepTimes.push_back(engine.report->stepSeconds);
    }
    if (stepTimes.empty())
        return 0;
    auto median = stepTimes.begin() + static_cast<std::ptrdiff_t>(stepTimes.size() / 2);
    std::nth_element(stepTimes.begin(), median, stepTimes.end());
    return *median;
}

/// Excludes shared blocks, which rebuildProfile() counts once for the whole engine.
Footprint PoolScheduler::footprintOf(const GrantedGeneration& generation, int sharedBlocks) const
{
    const auto& request = generation.request;
    int producedTokens = static_cast<int>(generation.estimatedTokens);
    int unsharedPromptTokens = std::max(0, request.promptTokens - sharedBlocks * m_options.tokensPerBlock);
    Footprint footprint { .tokens = unsharedPromptTokens + producedTokens + m_options.tokensPerBlock / 2 };
    m_lengthModel.survivalProbabilities(request.service, request.organisation, producedTokens, horizonTokens, footprint.survival);
    for (std::size_t i = 1; i < horizonTokens.size(); ++i) {
        if (request.maxTokens > 0 && producedTokens + horizonTokens[i] >= request.maxTokens)
            footprint.survival[i] = 0;
    }
    return footprint;
}

void PoolScheduler::rebuildProfile(PoolEngine& engine)
{
    engine.profile.clear();
    for (const auto& [id, generation] : engine.running)
        engine.profile.add(footprintOf(generation, engine.sharedPrefixes.sharedBlocks(generation.request.prefixBlocks)));
    engine.profile.setOffset(engine.unexplainedTokens + engine.sharedPrefixes.distinctSharedBlocks() * m_options.tokensPerBlock);
}

void PoolScheduler::addRunning(PoolEngine& engine, GrantedGeneration generation)
{
    auto id = generation.request.id;
    m_queue.onStarted(generation.request.organisation);
    engine.sharedPrefixes.add(generation.request.prefixBlocks);
    m_engineNameByPermit[id] = engine.info.name;
    engine.running.emplace(id, std::move(generation));
    rebuildProfile(engine);
}

/// Extrapolates progress between reports from the engine's step time. A generation
/// whose end was not reported has reached the extrapolated length, so the growth is
/// recorded in the length model and charged.
void PoolScheduler::extrapolateProgress(PoolEngine& engine, TimePoint now)
{
    double stepSeconds = engine.stepSeconds();
    double elapsed = secondsBetween(m_lastTick, now);
    for (auto& [id, generation] : engine.running) {
        bool started = generation.producedTokens > 0 || secondsBetween(generation.grantedAt, now) > 2 * stepSeconds;
        if (!started || engine.preemptedIds.contains(id))
            continue;
        generation.estimatedTokens += elapsed / stepSeconds;
        if (generation.request.maxTokens > 0)
            generation.estimatedTokens = std::min<double>(generation.estimatedTokens, generation.request.maxTokens);
        if (generation.estimatedTokens - generation.producedTokens >= minChargeTokens)
            chargeGrowth(generation, static_cast<int>(generation.estimatedTokens));
    }
}

void PoolScheduler::choosePreemptionCandidate(PoolEngine& engine)
{
    if (!engine.info.honoursPriorities || (engine.preemptionCandidate && engine.running.contains(*engine.preemptionCandidate)))
        return;
    engine.preemptionCandidate.reset();
    const auto* candidate = engine.findPreemptionCandidate();
    if (!candidate)
        return;
    engine.preemptionCandidate = candidate->request.id;
    m_actions.emplace_back(SetPriority { .id = candidate->request.id, .priority = preemptionCandidatePriority });
}

void PoolScheduler::updateExpectedTokens()
{
    std::unordered_map<std::string, double> expectedTokens;
    for (const auto& [name, engine] : m_engines) {
        for (const auto& [id, generation] : engine.running) {
            const auto& request = generation.request;
            int producedTokens = static_cast<int>(generation.estimatedTokens);
            expectedTokens[request.organisation] += m_lengthModel.expectedRemaining(request.service, request.organisation, producedTokens, m_options.expectedTokensHorizon)
                + generation.estimatedTokens - generation.producedTokens;
        }
    }
    for (const auto& [organisation, tokens] : expectedTokens)
        m_queue.setExpectedTokens(organisation, tokens);
}

void PoolScheduler::onTick(TimePoint now)
{
    if (m_lastTick != TimePoint {}) {
        double elapsed = std::max(1e-3, secondsBetween(m_lastTick, now));
        m_grantsPerSecond += grantRateSmoothing * (m_grantsSinceTick / elapsed - m_grantsPerSecond);
        m_grantsSinceTick = 0;
        for (auto& [name, engine] : m_engines) {
            extrapolateProgress(engine, now);
            rebuildProfile(engine);
            choosePreemptionCandidate(engine);
        }
    }
    m_lastTick = now;
    for (auto& [name, engine] : m_engines)
        engine.recordOccupancy(now);
    updateExpectedTokens();
    for (const auto& waiting : m_queue.takeExpired(now))
        refuse(waiting, ErrorCode::DeadlineExceeded);
    scheduleWaiting(now);
}

bool PoolScheduler::isBelowShare(const std::string& organisation) const
{
    constexpr double belowShareRatio = 0.5;
    return m_queue.shareRatio(organisation) < belowShareRatio;
}

double PoolScheduler::usableCapacityTokens(const PoolEngine& engine, bool belowShare) const
{
    double capacity = engine.capacityTokens();
    if (m_queue.activeOrganisationCount() > 1 && !belowShare)
        capacity *= 1 - m_options.reservedMemoryFraction;
    return capacity;
}

bool PoolScheduler::canAccept(const PoolEngine& engine, const PermitRequest& request, TimePoint now) const
{
    return engine.canAccept(request, static_cast<std::size_t>(m_options.maxRunningPerEngine), now);
}

std::optional<PoolScheduler::EngineChoice> PoolScheduler::chooseEngine(const PermitRequest& request, TimePoint now, const std::set<const PoolEngine*>& reservedEngines)
{
    std::optional<EngineChoice> best;
    double bestCost = 0;
    GrantedGeneration candidate { .request = request };
    auto unsharedFootprint = footprintOf(candidate, 0);
    bool belowShare = isBelowShare(request.organisation);
    double maxRisk = belowShare ? m_options.maxOverflowRiskBelowShare : m_options.maxOverflowRisk;
    for (auto& [name, engine] : m_engines) {
        if (!canAccept(engine, request, now) || reservedEngines.contains(&engine))
            continue;
        bool probing = engine.health.condition(now) == EngineCondition::Probing;
        if (probing && request.serviceClass == ServiceClass::Interactive)
            continue;
        if (!engine.running.empty() && engine.report && engine.report->stepSeconds > m_options.maxStepSeconds)
            continue;
        auto footprint = unsharedFootprint;
        footprint.tokens -= std::min(footprint.tokens, engine.sharedPrefixes.heldBlocks(request.prefixBlocks) * m_options.tokensPerBlock);
        double risk = engine.profile.overflowRisk(footprint, usableCapacityTokens(engine, belowShare));
        // An empty engine accepts any request; otherwise a request above every limit would never start.
        if (risk > maxRisk && !engine.running.empty())
            continue;
        int cachedTokens = engine.prefixIndex.leadingBlocks(request.prefixBlocks) * m_options.tokensPerBlock;
        double cost = probing ? 0 : engine.placementCost(request, cachedTokens);
        if (best && cost >= bestCost)
            continue;
        bestCost = cost;
        auto reason = probing ? GrantReason::Probe : (cachedTokens > 0 ? GrantReason::PrefixCached : GrantReason::LeastLoaded);
        best = EngineChoice { .engine = &engine, .risk = risk, .cachedTokens = cachedTokens, .reason = reason };
    }
    return best;
}

/// Selects the least occupied engine for a request that has waited long for memory;
/// smaller requests can still start on the other engines.
const PoolEngine* PoolScheduler::engineToReserve(const PermitRequest& request, TimePoint now, const std::set<const PoolEngine*>& reservedEngines) const
{
    const PoolEngine* best = nullptr;
    for (const auto& [name, engine] : m_engines) {
        if (!canAccept(engine, request, now) || reservedEngines.contains(&engine))
            continue;
        if (!best || engine.profile.occupancy() < best->profile.occupancy())
            best = &engine;
    }
    return best;
}

void PoolScheduler::scheduleWaiting(TimePoint now)
{
    bool granted = true;
    while (granted) {
        granted = false;
        std::set<const PoolEngine*> reservedEngines;
        for (const auto& organisation : m_queue.organisationsByShare()) {
            const auto& head = m_queue.front(organisation);
            auto choice = chooseEngine(head.request, now, reservedEngines);
            if (choice) {
                grant(m_queue.pop(organisation), *choice, now);
                granted = true;
                break;
            }
            if (reservedEngines.empty() && head.enqueuedAt + m_options.backfillLimit < now)
                reservedEngines.insert(engineToReserve(head.request, now, reservedEngines));
        }
    }
}

void PoolScheduler::grant(const WaitingPermitRequest& waiting, const EngineChoice& choice, TimePoint now)
{
    const auto& request = waiting.request;
    auto& engine = *choice.engine;
    if (choice.reason == GrantReason::Probe)
        engine.health.onProbeStarted(now);
    int priority = request.serviceClass == ServiceClass::Interactive ? interactivePriority : batchPriority;
    Grant decision { .id = request.id, .engine = engine.info.name, .priority = priority, .reason = choice.reason, .overflowRisk = choice.risk, .expectedCachedTokens = choice.cachedTokens };
    m_actions.emplace_back(decision);
    m_queue.charge(request.organisation, request.promptTokens * m_options.promptTokenWeight);
    m_queue.addExpectedTokens(request.organisation, m_lengthModel.expectedRemaining(request.service, request.organisation, 0, m_options.expectedTokensHorizon));
    engine.prefixIndex.expectStored(request.prefixBlocks);
    GrantedGeneration generation { .request = request, .grantedAt = now, .reportedAt = now, .renewedAt = now, .grant = decision, .expectedCachedTokens = choice.cachedTokens };
    addRunning(engine, std::move(generation));
    ++m_grantsSinceTick;
}

void PoolScheduler::refuse(const WaitingPermitRequest& waiting, ErrorCode code)
{
    double seconds = m_grantsPerSecond > 0 ? static_cast<double>(m_queue.size()) / m_grantsPerSecond : 1;
    auto retryAfter = std::clamp<Clock::duration>(fromSeconds(seconds), minRetryAfter, Seconds(60));
    m_actions.emplace_back(Refusal { .id = waiting.request.id, .code = code, .retryAfter = retryAfter });
}

std::vector<SchedulingAction> PoolScheduler::takeActions()
{
    return std::exchange(m_actions, {});
}

}
