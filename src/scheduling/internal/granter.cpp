#include "scheduling/granter.h"

#include <algorithm>
#include <set>

namespace guavaspan {

namespace {

    constexpr int defaultCapacityTokens = 16000;
    constexpr double defaultStepSeconds = 0.030;
    constexpr double prefillSecondsPerToken = 0.00002;
    constexpr double otherDomainSeconds = 0.002;
    constexpr double occupancyWeightSeconds = 0.4;
    constexpr double tokensPerCharge = 32;
    constexpr int designatedPriority = 0;
    constexpr double riskToDesignate = 0.01;
    constexpr double tokensToRelieve = 3000;
    constexpr int batchPriority = 1;
    constexpr int interactivePriority = 2;
    constexpr int protectedPriority = 9;
    constexpr auto historySpan = Seconds(10);
    constexpr double rateSmoothing = 0.2;
    constexpr double jammedOccupancy = 0.9;
    constexpr auto shortestRetryAfter = Seconds(1);

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

GranterOptions stallsFirstOptions()
{
    return GranterOptions { .maxOverflowRisk = 0.3, .maxOverflowRiskBelowShare = 0.45, .reservedForBelowShare = 0.01 };
}

GranterOptions preemptionsFirstOptions()
{
    return GranterOptions { .maxOverflowRisk = 0.2, .maxOverflowRiskBelowShare = 0.3, .reservedForBelowShare = 0.01 };
}

Granter::Granter(GranterOptions options)
    : m_options(options)
{
}

void Granter::setEngines(const std::vector<EngineInfo>& infos)
{
    for (auto& [name, engine] : m_engines)
        engine.present = false;
    for (const auto& info : infos) {
        auto& engine = m_engines[info.name];
        engine.info = info;
        engine.present = true;
    }
    // An engine that left keeps its record until its last generation has ended.
    std::erase_if(m_engines, [](const auto& entry) { return !entry.second.present && entry.second.running.empty(); });
}

Granter::Engine* Granter::engineOf(const PermitId& id)
{
    auto found = m_engineOf.find(id);
    if (found == m_engineOf.end())
        return nullptr;
    return &m_engines.at(found->second);
}

/// Asking again is harmless: a lost answer is given again, a waiting request keeps its place.
void Granter::onRequest(PermitRequest request, TimePoint now)
{
    if (auto* engine = engineOf(request.id)) {
        m_actions.emplace_back(engine->running.at(request.id).grant);
        return;
    }
    if (m_queue.contains(request.id))
        return;
    m_queue.push(std::move(request), now);
    while (m_queue.size() > m_options.maxWaiting)
        refuse(*m_queue.shed(), ErrorCode::Overloaded);
    decide(now);
}

void Granter::onWithdrawn(const PermitId& id, TimePoint now)
{
    if (!m_queue.withdraw(id))
        onFinished(id, 0, FinishKind::Cancelled, now);
}

void Granter::chargeGrowth(GrantedGeneration& generation, int produced)
{
    const auto& request = generation.request;
    if (produced <= generation.produced)
        return;
    m_lengths.observeGrowth(request.service, request.organisation, generation.produced, produced);
    m_queue.charge(request.organisation, produced - generation.produced);
    generation.produced = produced;
    generation.estimated = std::max<double>(generation.estimated, produced);
}

void Granter::onProgress(const PermitId& id, int produced, bool preempted, TimePoint now)
{
    auto* engine = engineOf(id);
    if (!engine)
        return;
    auto& generation = engine->running.at(id);
    chargeGrowth(generation, produced);
    generation.estimated = produced;
    generation.reportedAt = now;
    generation.heldAt = now;
    if (!preempted) {
        engine->displaced.erase(id);
        return;
    }
    engine->displaced.insert(id);
    if (engine->designated == id)
        engine->designated.reset();
    ++generation.preemptions;
    m_actions.emplace_back(SetPriority { .id = id, .priority = protectedPriority });
}

void Granter::onFinished(const PermitId& id, int produced, FinishKind kind, TimePoint now)
{
    auto* engine = engineOf(id);
    if (!engine)
        return;
    auto generation = engine->running.at(id);
    chargeGrowth(generation, produced);
    if (kind == FinishKind::Completed) {
        m_lengths.observeEnd(generation.request.service, generation.request.organisation, produced);
        engine->health.onSuccess(now);
    } else if (kind == FinishKind::EngineFailed) {
        engine->health.onFailure(now);
    }
    engine->running.erase(id);
    engine->displaced.erase(id);
    engine->shared.remove(generation.request.prefixBlocks);
    m_engineOf.erase(id);
    m_queue.onEnded(generation.request.organisation);
    rebuild(*engine);
    decide(now);
}

bool Granter::onHeld(const PermitId& id, int produced, TimePoint now)
{
    auto* engine = engineOf(id);
    if (!engine)
        return m_queue.contains(id);
    auto& generation = engine->running.at(id);
    generation.heldAt = now;
    chargeGrowth(generation, produced);
    generation.estimated = produced;
    return true;
}

void Granter::expireUnheld(TimePoint namedSince, TimePoint now)
{
    std::vector<PermitId> lost;
    for (const auto& [name, engine] : m_engines) {
        for (const auto& [id, generation] : engine.running) {
            if (generation.heldAt < namedSince)
                lost.push_back(id);
        }
    }
    for (const auto& id : lost)
        onFinished(id, 0, FinishKind::Cancelled, now);
}

void Granter::adopt(PermitRequest request, const std::string& engineName, int produced, TimePoint now)
{
    auto found = m_engines.find(engineName);
    if (found == m_engines.end() || m_engineOf.contains(request.id))
        return;
    GrantedGeneration generation { .request = std::move(request), .produced = produced, .estimated = static_cast<double>(produced), .grantedAt = now, .reportedAt = now, .heldAt = now };
    generation.grant = { .id = generation.request.id, .engine = engineName };
    start(found->second, std::move(generation));
}

void Granter::recordOccupancy(Engine& engine, TimePoint now)
{
    double known = engine.profile.occupancy() - engine.unexplainedTokens;
    engine.occupancyHistory.emplace_back(now, known);
    while (engine.occupancyHistory.front().first + historySpan < now)
        engine.occupancyHistory.pop_front();
}

/// The report describes the past, so it is held against what was known then;
/// the difference is what other owners placed, less what prefixes share.
void Granter::onLoadReport(const std::string& name, const LoadReport& report, TimePoint now)
{
    auto found = m_engines.find(name);
    if (found == m_engines.end())
        return;
    auto& engine = found->second;
    engine.report = report;
    double knownThen = 0;
    for (const auto& [time, tokens] : engine.occupancyHistory) {
        if (time > report.measuredAt)
            break;
        knownThen = tokens;
    }
    // What waits inside the engine holds no memory now but will claim it before
    // anything new: the room it leaves is not room.
    engine.jammed = report.waiting > 0 && report.tokensUsed > jammedOccupancy * report.tokensCapacity;
    if (report.waiting == 0)
        engine.unexplainedTokens = report.tokensUsed - knownThen;
    engine.health.onStepTime(report.stepSeconds, poolMedianStepSeconds(), now);
    rebuild(engine);
}

void Granter::onCacheEvent(const std::string& name, std::uint64_t block, bool stored)
{
    auto found = m_engines.find(name);
    if (found == m_engines.end())
        return;
    if (stored)
        found->second.cache.onStored(block);
    else
        found->second.cache.onRemoved(block);
}

void Granter::onCacheGap(const std::string& name)
{
    auto found = m_engines.find(name);
    if (found != m_engines.end())
        found->second.cache.onGap();
}

double Granter::poolMedianStepSeconds() const
{
    std::vector<double> values;
    for (const auto& [name, engine] : m_engines) {
        if (engine.report && engine.report->running > 0)
            values.push_back(engine.report->stepSeconds);
    }
    if (values.empty())
        return 0;
    auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Blocks held in common are counted once for the whole engine, not here.
Footprint Granter::footprintOf(const GrantedGeneration& generation, int sharedBlocks) const
{
    const auto& request = generation.request;
    int produced = static_cast<int>(generation.estimated);
    int ownPrompt = std::max(0, request.promptTokens - sharedBlocks * m_options.blockTokens);
    Footprint footprint { .tokens = ownPrompt + produced + m_options.blockTokens / 2 };
    m_lengths.survivalAhead(request.service, request.organisation, produced, horizonTokens, footprint.survival);
    for (std::size_t i = 1; i < horizonTokens.size(); ++i) {
        if (request.maxTokens > 0 && produced + horizonTokens[i] >= request.maxTokens)
            footprint.survival[i] = 0;
    }
    return footprint;
}

void Granter::rebuild(Engine& engine)
{
    engine.profile.clear();
    for (const auto& [id, generation] : engine.running)
        engine.profile.add(footprintOf(generation, engine.shared.sharedBlocks(generation.request.prefixBlocks)));
    engine.profile.setOffset(engine.unexplainedTokens + engine.shared.distinctShared() * m_options.blockTokens);
}

void Granter::start(Engine& engine, GrantedGeneration generation)
{
    auto id = generation.request.id;
    m_queue.onStarted(generation.request.organisation);
    engine.shared.add(generation.request.prefixBlocks);
    m_engineOf[id] = engine.info.name;
    engine.running.emplace(id, std::move(generation));
    rebuild(engine);
}

/// Between reports the owner extrapolates at the engine's own pace. A generation
/// whose end was not reported has reached that length, so it is learnt and charged.
void Granter::advance(Engine& engine, TimePoint now)
{
    double stepSeconds = engine.report && engine.report->stepSeconds > 0 ? engine.report->stepSeconds : defaultStepSeconds;
    double elapsed = secondsBetween(m_lastTick, now);
    for (auto& [id, generation] : engine.running) {
        bool started = generation.produced > 0 || secondsBetween(generation.grantedAt, now) > 2 * stepSeconds;
        if (!started || engine.displaced.contains(id))
            continue;
        generation.estimated += elapsed / stepSeconds;
        if (generation.request.maxTokens > 0)
            generation.estimated = std::min<double>(generation.estimated, generation.request.maxTokens);
        if (generation.estimated - generation.produced >= tokensPerCharge)
            chargeGrowth(generation, static_cast<int>(generation.estimated));
    }
}

/// An engine that overflows displaces the newest of the lowest priority, and since
/// new ones are small it displaces many. One generation that is large enough to end
/// the shortage alone is put below the others; nobody is put there twice.
void Granter::designate(Engine& engine)
{
    if (!engine.info.honoursPriorities || (engine.designated && engine.running.contains(*engine.designated)))
        return;
    engine.designated.reset();
    double capacity = engine.report ? engine.report->tokensCapacity : defaultCapacityTokens;
    if (engine.profile.overflowRisk({}, capacity) < riskToDesignate)
        return;
    const GrantedGeneration* best = nullptr;
    auto sizeOf = [](const GrantedGeneration& generation) { return generation.request.promptTokens + generation.estimated; };
    for (const auto& [id, generation] : engine.running) {
        bool eligible = generation.request.serviceClass == ServiceClass::Batch && generation.preemptions == 0 && generation.produced > 0;
        if (!eligible)
            continue;
        bool enough = sizeOf(generation) >= tokensToRelieve;
        bool bestEnough = best && sizeOf(*best) >= tokensToRelieve;
        bool better = !best || (enough && !bestEnough) || (enough == bestEnough && enough == (sizeOf(generation) < sizeOf(*best)));
        if (better)
            best = &generation;
    }
    if (!best)
        return;
    engine.designated = best->request.id;
    m_actions.emplace_back(SetPriority { .id = best->request.id, .priority = designatedPriority });
}

void Granter::updateForeseen()
{
    std::unordered_map<std::string, double> foreseen;
    for (const auto& [name, engine] : m_engines) {
        for (const auto& [id, generation] : engine.running) {
            const auto& request = generation.request;
            int produced = static_cast<int>(generation.estimated);
            foreseen[request.organisation] += m_lengths.expectedRemaining(request.service, request.organisation, produced, m_options.foreseenTokens)
                + generation.estimated - generation.produced;
        }
    }
    for (const auto& [organisation, tokens] : foreseen)
        m_queue.setForeseen(organisation, tokens);
}

void Granter::onTick(TimePoint now)
{
    if (m_lastTick != TimePoint {}) {
        double elapsed = std::max(1e-3, secondsBetween(m_lastTick, now));
        m_grantsPerSecond += rateSmoothing * (m_grantsSinceTick / elapsed - m_grantsPerSecond);
        m_grantsSinceTick = 0;
        for (auto& [name, engine] : m_engines) {
            advance(engine, now);
            rebuild(engine);
            designate(engine);
        }
    }
    m_lastTick = now;
    for (auto& [name, engine] : m_engines)
        recordOccupancy(engine, now);
    updateForeseen();
    for (const auto& waiting : m_queue.takeExpired(now))
        refuse(waiting, ErrorCode::DeadlineExceeded);
    decide(now);
}

bool Granter::isBelowShare(const std::string& organisation) const
{
    constexpr double clearlyBelow = 0.5;
    return m_queue.shareRatio(organisation) < clearlyBelow;
}

double Granter::capacityFor(const Engine& engine, bool belowShare) const
{
    double capacity = engine.report ? engine.report->tokensCapacity : defaultCapacityTokens;
    if (m_queue.activeOrganisations() > 1 && !belowShare)
        capacity *= 1 - m_options.reservedForBelowShare;
    return capacity;
}

bool Granter::mayRun(const Engine& engine, const PermitRequest& request, TimePoint now) const
{
    if (!engine.present || !engine.info.accepting)
        return false;
    if (static_cast<int>(engine.running.size()) >= m_options.maxRunningPerEngine)
        return false;
    if (engine.jammed || !engine.displaced.empty() || engine.health.condition(now) == EngineCondition::Ejected)
        return false;
    const auto& excluded = request.excludedEngines;
    return std::find(excluded.begin(), excluded.end(), engine.info.name) == excluded.end();
}

/// Estimated seconds that the choice costs; lower is better.
double Granter::score(const Engine& engine, const PermitRequest& request, int cachedTokens) const
{
    double capacity = engine.report ? engine.report->tokensCapacity : defaultCapacityTokens;
    double prefill = (request.promptTokens - cachedTokens * engine.cache.trust()) * prefillSecondsPerToken;
    double crowding = occupancyWeightSeconds * engine.profile.occupancy() / capacity;
    double distance = engine.info.failureDomain == request.failureDomain ? 0 : otherDomainSeconds;
    return prefill + crowding + distance;
}

std::optional<Granter::Choice> Granter::choose(const PermitRequest& request, TimePoint now, const std::set<const Engine*>& reserved)
{
    std::optional<Choice> best;
    double bestScore = 0;
    GrantedGeneration candidate { .request = request };
    auto whole = footprintOf(candidate, 0);
    bool belowShare = isBelowShare(request.organisation);
    double highestRisk = belowShare ? m_options.maxOverflowRiskBelowShare : m_options.maxOverflowRisk;
    for (auto& [name, engine] : m_engines) {
        if (!mayRun(engine, request, now) || reserved.contains(&engine))
            continue;
        bool probing = engine.health.condition(now) == EngineCondition::Probing;
        if (probing && request.serviceClass == ServiceClass::Interactive)
            continue;
        if (!engine.running.empty() && engine.report && engine.report->stepSeconds > m_options.maxStepSeconds)
            continue;
        auto footprint = whole;
        footprint.tokens -= std::min(footprint.tokens, engine.shared.heldBlocks(request.prefixBlocks) * m_options.blockTokens);
        double risk = engine.profile.overflowRisk(footprint, capacityFor(engine, belowShare));
        // An empty engine takes whatever comes, or a request larger than any bound would wait for ever.
        if (risk > highestRisk && !engine.running.empty())
            continue;
        int cachedTokens = engine.cache.leadingBlocks(request.prefixBlocks) * m_options.blockTokens;
        double cost = probing ? 0 : score(engine, request, cachedTokens);
        if (best && cost >= bestScore)
            continue;
        bestScore = cost;
        auto reason = probing ? GrantReason::Probe : (cachedTokens > 0 ? GrantReason::PrefixCached : GrantReason::LeastLoaded);
        best = Choice { .engine = &engine, .risk = risk, .cachedTokens = cachedTokens, .reason = reason };
    }
    return best;
}

/// A request that has waited long for room gets the engine that is nearest to
/// having it; smaller requests go on filling the others.
const Granter::Engine* Granter::engineToReserve(const PermitRequest& request, TimePoint now, const std::set<const Engine*>& reserved) const
{
    const Engine* best = nullptr;
    for (const auto& [name, engine] : m_engines) {
        if (!mayRun(engine, request, now) || reserved.contains(&engine))
            continue;
        if (!best || engine.profile.occupancy() < best->profile.occupancy())
            best = &engine;
    }
    return best;
}

void Granter::decide(TimePoint now)
{
    bool granted = true;
    while (granted) {
        granted = false;
        std::set<const Engine*> reserved;
        for (const auto& organisation : m_queue.order()) {
            const auto& head = m_queue.front(organisation);
            auto choice = choose(head.request, now, reserved);
            if (choice) {
                grant(m_queue.pop(organisation), *choice, now);
                granted = true;
                break;
            }
            if (reserved.empty() && head.since + m_options.backfillLimit < now)
                reserved.insert(engineToReserve(head.request, now, reserved));
        }
    }
}

void Granter::grant(const WaitingRequest& waiting, const Choice& choice, TimePoint now)
{
    const auto& request = waiting.request;
    auto& engine = *choice.engine;
    if (choice.reason == GrantReason::Probe)
        engine.health.onProbeStarted(now);
    int priority = request.serviceClass == ServiceClass::Interactive ? interactivePriority : batchPriority;
    Grant decision { .id = request.id, .engine = engine.info.name, .priority = priority, .reason = choice.reason, .overflowRisk = choice.risk, .expectedCachedTokens = choice.cachedTokens };
    m_actions.emplace_back(decision);
    m_queue.charge(request.organisation, request.promptTokens * m_options.promptTokenWeight);
    m_queue.addForeseen(request.organisation, m_lengths.expectedRemaining(request.service, request.organisation, 0, m_options.foreseenTokens));
    engine.cache.expectStored(request.prefixBlocks);
    GrantedGeneration generation { .request = request, .grantedAt = now, .reportedAt = now, .heldAt = now, .grant = decision, .expectedCachedTokens = choice.cachedTokens };
    start(engine, std::move(generation));
    ++m_grantsSinceTick;
}

void Granter::refuse(const WaitingRequest& waiting, ErrorCode code)
{
    double seconds = m_grantsPerSecond > 0 ? static_cast<double>(m_queue.size()) / m_grantsPerSecond : 1;
    auto retryAfter = std::clamp<Clock::duration>(fromSeconds(seconds), shortestRetryAfter, Seconds(60));
    m_actions.emplace_back(Refusal { .id = waiting.request.id, .code = code, .retryAfter = retryAfter });
}

std::vector<SchedulingAction> Granter::takeActions()
{
    return std::exchange(m_actions, {});
}

}
