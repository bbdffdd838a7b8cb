#include "dispatch/dispatcher.h"

namespace guavaspan {

namespace {

    /// Lower bound of the retry advice: a few round trips, so that callers do not retry in a tight loop.
    constexpr double minRetrySeconds = 0.25;
    /// Upper bound of the retry advice that follows from how long engines have been saturated. Callers of
    /// generations wait about 40 s in total.
    constexpr double maxSaturationRetrySeconds = 8;
    /// Jitter: retry advice is extended by up to this share, so that refused callers do not return together.
    constexpr double maxRetryJitter = 0.6;
    /// Time that a request may wait if it is late already. Callers of streams disconnect after some seconds
    /// without an event.
    constexpr auto lateWaitLimit = Milliseconds(2000);
    /// Nothing tells when an operator ends an evacuation, so this is no estimate: callers of generations return several times
    /// before they give up, and an evacuation that has ended is noticed soon.
    constexpr auto evacuationRetryDelay = Seconds(4);

    bool isUrgent(const PlacementRequest& request)
    {
        return request.rank.priority == 0 || request.estimate.isShort();
    }

    const AdmissionRule& ruleFor(const PlacementRequest& request)
    {
        if (request.rank.late)
            return lateAdmission;
        if (request.estimate.isShort())
            return shortAdmission;
        return request.rank.priority == 0 ? urgentAdmission : ordinaryAdmission;
    }

    /// Milliseconds by which an engine of another failure domain scores worse as the destination of a move. Such a move takes twice as long, which
    /// may leave too little time for the generations that still have to move, so only crowded engines of the
    /// source's domain are passed over.
    constexpr double moveDomainMs = 0.7 * fullLoadMs;

}

Dispatcher::Dispatcher(asio::io_context& io, TargetDirectory& directory, std::string failureDomain, Random random)
    : m_io(io)
    , m_directory(directory)
    , m_failureDomain(std::move(failureDomain))
    , m_random(random)
{
}

/// Targets that the request excludes and brittle ones that have enough requests of this instance. The owner of a pool knows the
/// load of all instances, so its engines need no share for each.
std::set<std::string> Dispatcher::excludedTargets(const PlacementRequest& request, const std::vector<const TargetEntry*>& candidates) const
{
    auto excluded = request.excluded;
    if (request.engine && m_limits)
        excluded.merge(m_limits->exhaustedForPlacement(Clock::now()));
    if (request.engine || !m_brittleServices.isBrittle(request.service))
        return excluded;
    for (const auto* target : candidates) {
        if (m_ledger.localLoad(target->id).requests >= *m_brittleServices.requestLimit(*target))
            excluded.insert(target->id);
    }
    return excluded;
}

MemoryAdmission Dispatcher::admissionFor(const PlacementRequest& request, std::size_t usableEngines, TimePoint now)
{
    if (!request.engine)
        return {};
    auto moving = m_movingTokens.find(request.service);
    ReserveInputs inputs { .usableEngines = usableEngines, .memoryTokens = request.engine->memoryTokens, .movingTokens = moving == m_movingTokens.end() ? 0 : moving->second };
    return { .rule = ruleFor(request), .reservedTokens = m_reserve.tokensPerEngine(request.service, inputs, now), .reserve = &m_reserve };
}

void Dispatcher::setMovingTokens(const std::string& service, double tokens)
{
    if (tokens > 0)
        m_movingTokens.insert_or_assign(service, tokens);
    else
        m_movingTokens.erase(service);
}

void Dispatcher::onDestinationFull(const std::string& target, const EngineTraits& engine, int tokensHeld, TimePoint now)
{
    m_reserve.onTick(now);
    m_reserve.onDestinationFull(target, tokensHeld, engine.memoryTokens - m_ledger.totalLoad(target).heldTokens, now);
}

std::optional<TargetChoice> Dispatcher::chooseTarget(const PlacementRequest& request)
{
    auto candidates = m_directory.usableTargets(request.service);
    auto excluded = excludedTargets(request, candidates);
    auto now = Clock::now();
    auto choice = selectTarget({ .candidates = candidates, .ledger = m_ledger, .outcomes = m_outcomes, .engine = request.engine, .preferredDomain = m_failureDomain, .excluded = excluded, .estimate = request.estimate, .now = now, .admission = admissionFor(request, candidates.size(), now), .loadsAreShared = request.loadsAreShared, .paces = &m_paces, .eventGapObjective = request.eventGapObjective, .keptPrompts = &m_keptPrompts, .promptParts = request.promptParts }, m_random);
    if (!choice)
        m_saturation.onSaturated(request.service, now);
    else if (request.engine && choice->tokens + request.estimate.totalTokens() <= lateAdmission.memoryShare * request.engine->memoryTokens)
        m_saturation.onCapacity(request.service);
    if (choice && choice->isProbe)
        m_outcomes.onProbed(toString(m_directory.find(choice->target)->endpoint), now);
    return choice;
}

void Dispatcher::forgetOutcomes(const std::string& service)
{
    for (const auto* target : m_directory.usableTargets(service))
        m_outcomes.forget(toString(target->endpoint));
}

std::set<std::string> Dispatcher::slowTargets(const std::string& service, PaceKind kind) const
{
    auto targets = m_directory.usableTargets(service);
    RelativePaces paces(&m_paces, kind, targets);
    std::set<std::string> slow;
    for (const auto* target : targets) {
        if (paces.of(*target) > 1)
            slow.insert(target->id);
    }
    return slow;
}

void Dispatcher::start(const PlacementRequest& request, const std::string& target, bool forPeer)
{
    if (forPeer)
        m_ledger.beginForPeer(request.id, target, request.estimate);
    else
        m_ledger.begin(request.id, target, request.estimate);
    const auto* entry = request.engine ? m_directory.find(target) : nullptr;
    if (entry)
        m_keptPrompts.onPlaced(*entry, request.promptParts, request.estimate.totalTokens(), request.engine->memoryTokens, Clock::now());
    m_queue.onStarted(request.service, request.organisation, request.rank, request.estimate, Clock::now());
}

void Dispatcher::onPlaced(const std::string& target)
{
    if (m_limits)
        m_limits->onPlaced(target, Clock::now());
}

void Dispatcher::onMoveGranted(WorkId id, const std::string& target, const WorkEstimate& estimate)
{
    m_ledger.beginForPeer(id, target, estimate);
    onPlaced(target);
}

void Dispatcher::onGrantedByOwner(const PlacementRequest& request, const std::string& target)
{
    start(request, target, false);
}

/// Callers of engines come back in the order of their first attempts; the requests of plain services are short, so
/// jitter suffices.
PlacementRefusal Dispatcher::makeRefusal(const PlacementRequest& request, std::string detail, TimePoint firstAttemptAt)
{
    PlacementRefusal refusal { .cause = RefusalCause::NoRoom, .detail = std::move(detail) };
    if (!request.engine) {
        refusal.retryAfter = retryAfter(request.service, request.organisation, request.rank, request.estimate);
        return refusal;
    }
    auto now = Clock::now();
    bool isShort = request.estimate.isShort();
    auto kind = request.service + "/" + std::to_string(request.rank.priority) + (isShort ? "/short" : "/long");
    auto expectedWait = expectedRetryDelay(request.service, request.organisation, request.rank, request.estimate);
    refusal.retryAfter = m_returns.advise(kind, { .firstAttemptAt = firstAttemptAt, .expectedWait = expectedWait, .startInterval = m_queue.startInterval(request.service, isShort, now) }, now);
    return refusal;
}

PlacementOutcome Dispatcher::makePlacement(const PlacementRequest& request, const TargetChoice& choice, Clock::duration waited)
{
    const auto* target = m_directory.find(choice.target);
    if (!target)
        return makeRefusal(request, "the chosen target was removed", Clock::now() - waited);
    return Placement { .target = *target, .targetRequests = choice.requests, .targetTokens = choice.tokens, .score = choice.score, .time = choice.time, .waited = waited, .late = request.rank.late };
}

Awaitable<PlacementOutcome> Dispatcher::place(PlacementRequest request)
{
    return placeOrEnqueue(std::move(request), false);
}

Awaitable<PlacementOutcome> Dispatcher::placeForPeer(PlacementRequest request)
{
    return placeOrEnqueue(std::move(request), true);
}

/// Brings the latest start forward by the time since the caller's first attempt, if earlier attempts were refused.
/// A request that can no longer be in time is marked late.
void Dispatcher::deductEarlierWait(PlacementRequest& request, TimePoint firstAttemptAt, TimePoint now)
{
    if (firstAttemptAt == now)
        return;
    request.latestStart -= now - firstAttemptAt;
    if (request.latestStart > now)
        return;
    request.rank.late = true;
    request.latestStart = now + lateWaitLimit;
}

Awaitable<PlacementOutcome> Dispatcher::placeOrEnqueue(PlacementRequest request, bool forPeer)
{
    auto arrivedAt = Clock::now();
    auto firstAttemptAt = request.contentHash != 0 ? m_refusals.firstAttempt(request.contentHash, arrivedAt).value_or(arrivedAt) : arrivedAt;
    deductEarlierWait(request, firstAttemptAt, arrivedAt);
    if (request.engine && isUrgent(request))
        m_reserve.onUrgentRequest(request.service, request.estimate, arrivedAt);
    // A new request starts at once only if none waits; otherwise the queue's order decides.
    if (m_queue.size() == 0) {
        if (auto choice = chooseTarget(request)) {
            start(request, choice->target, forPeer);
            onPlaced(choice->target);
            co_return makePlacement(request, *choice, {});
        }
    }
    if (m_directory.allEvacuated(request.service))
        co_return makeEvacuationRefusal();
    auto enqueued = m_queue.enqueue({ .id = request.id, .service = request.service, .organisation = request.organisation, .rank = request.rank, .estimate = request.estimate, .arrivedAt = firstAttemptAt, .latestStart = request.latestStart }, arrivedAt);
    if (!enqueued.accepted) {
        m_refusals.onRefused(request.contentHash, firstAttemptAt, arrivedAt);
        co_return makeRefusal(request, "the expected wait is too long", firstAttemptAt);
    }
    auto waiter = std::make_shared<Waiter>(m_io);
    waiter->forPeer = forPeer;
    waiter->wakeUp.expires_at(request.latestStart);
    m_requests.insert_or_assign(request.id, request);
    m_waiters.insert_or_assign(request.id, waiter);
    placeWaiting();
    if (!waiter->choice && !waiter->cancelled && !waiter->evacuated)
        co_await waiter->wakeUp.async_wait(asTuple);
    m_waiters.erase(request.id);
    m_requests.erase(request.id);
    if (waiter->choice)
        co_return makePlacement(request, *waiter->choice, Clock::now() - arrivedAt);
    m_queue.remove(request.id);
    if (waiter->cancelled)
        co_return PlacementRefusal { .cause = RefusalCause::Cancelled, .detail = "the caller disconnected" };
    if (waiter->evacuated)
        co_return makeEvacuationRefusal();
    m_refusals.onRefused(request.contentHash, firstAttemptAt, Clock::now());
    co_return makeRefusal(request, "no target had capacity in time", firstAttemptAt);
}

void Dispatcher::placeWaiting()
{
    while (m_queue.size() > 0) {
        std::optional<TargetChoice> choice;
        auto next = m_queue.takeNext([&](const WaitingRequest& waiting) {
            choice = chooseTarget(m_requests.at(waiting.id));
            return choice.has_value();
        });
        if (!next)
            return;
        auto& waiter = *m_waiters.at(next->id);
        start(m_requests.at(next->id), choice->target, waiter.forPeer);
        onPlaced(choice->target);
        waiter.choice = choice;
        waiter.wakeUp.cancel();
    }
}

/// Waiting for room makes no sense where the end of an evacuation decides.
void Dispatcher::refuseEvacuated()
{
    if (m_directory.evacuations().empty())
        return;
    std::map<std::string, bool> evacuatedServices;
    for (const auto& [id, request] : m_requests) {
        auto [service, isNew] = evacuatedServices.try_emplace(request.service, false);
        if (isNew)
            service->second = m_directory.allEvacuated(request.service);
        auto& waiter = *m_waiters.at(id);
        if (!service->second || waiter.choice || waiter.cancelled)
            continue;
        // The queue must not start a request whose refusal is under way.
        m_queue.remove(id);
        waiter.evacuated = true;
        waiter.wakeUp.cancel();
    }
}

void Dispatcher::onTargetsChanged()
{
    refuseEvacuated();
    placeWaiting();
}

PlacementRefusal Dispatcher::makeEvacuationRefusal()
{
    return { .cause = RefusalCause::Evacuated, .retryAfter = retryAfterEvacuation(), .detail = "all targets of the service are evacuated" };
}

Clock::duration Dispatcher::retryAfterEvacuation()
{
    return jitteredRetryDelay(evacuationRetryDelay);
}

void Dispatcher::cancel(WorkId id)
{
    auto found = m_waiters.find(id);
    if (found == m_waiters.end() || found->second->choice)
        return;
    found->second->cancelled = true;
    found->second->wakeUp.cancel();
}

void Dispatcher::release(WorkId id)
{
    m_ledger.end(id);
    placeWaiting();
}

void Dispatcher::reserve(WorkId id, const std::string& target, const WorkEstimate& estimate)
{
    m_ledger.begin(id, target, estimate);
}

Clock::duration Dispatcher::retryAfter(const std::string& service, const std::string& organisation, Rank rank, const WorkEstimate& estimate)
{
    return jitteredRetryDelay(expectedRetryDelay(service, organisation, rank, estimate));
}

Clock::duration Dispatcher::expectedRetryDelay(const std::string& service, const std::string& organisation, Rank rank, const WorkEstimate& estimate)
{
    auto now = Clock::now();
    auto wait = m_queue.expectedWait({ .service = service, .organisation = organisation, .rank = rank, .estimate = estimate, .arrivedAt = now }, now);
    double expectedSeconds = std::chrono::duration<double>(wait).count();
    // Engines that have been saturated for some time are likely to stay saturated for about as long again.
    double saturatedSeconds = std::min(maxSaturationRetrySeconds, std::chrono::duration<double>(m_saturation.saturatedFor(service, now)).count());
    return fromSeconds(std::max(expectedSeconds, saturatedSeconds));
}

Clock::duration Dispatcher::jitteredRetryDelay(Clock::duration expectedWait)
{
    std::uniform_real_distribution<double> jitter(1, 1 + maxRetryJitter);
    return fromSeconds(std::max(minRetrySeconds, std::chrono::duration<double>(expectedWait).count()) * jitter(m_random));
}

std::optional<std::string> Dispatcher::chooseDestination(const TargetEntry& source, const EngineTraits& engine, const WorkEstimate& estimate, const std::set<std::string>& excluded)
{
    auto candidates = m_directory.usableTargets(source.service);
    auto excludedTargets = excluded;
    excludedTargets.insert(source.id);
    if (m_limits)
        excludedTargets.merge(m_limits->exhaustedForPlacement(Clock::now()));
    SelectionInputs inputs { .candidates = candidates, .ledger = m_ledger, .outcomes = m_outcomes, .engine = engine, .preferredDomain = source.failureDomain, .excluded = excludedTargets, .estimate = estimate, .now = Clock::now(), .otherDomainMs = moveDomainMs, .paces = &m_paces };
    // Output lengths are estimates, and losing a running generation costs more than crowding an engine.
    inputs.admission = { .rule = movedAdmission, .reserve = &m_reserve };
    inputs.allowsProbes = false;
    auto choice = selectTarget(inputs, m_random);
    if (!choice)
        return std::nullopt;
    return choice->target;
}

}
