#include "placement/placementclient.h"

#include "common/log.h"
#include "placement/ownerquery.h"

namespace guavaspan {

namespace {

    /// Interval at which the query of a waiting request is repeated, so that the owner keeps it queued.
    constexpr auto waitingQueryInterval = Milliseconds(200);
    /// Time for which an unreachable owner is not queried.
    constexpr auto ownerRetryDelay = Milliseconds(1500);
    /// Grants of one request that are returned to its owner. An owner whose view of the targets differs more than that does
    /// not know them; this instance then decides itself.
    constexpr std::size_t maxReturnedGrants = 4;
    /// Stands for all other instances among those whose loads are known.
    constexpr const char* summarisedInstances = "";

}

std::string_view toString(PlacementDecider decider)
{
    switch (decider) {
    case PlacementDecider::Here:
        return "here";
    case PlacementDecider::Owner:
        return "owner";
    case PlacementDecider::HereWithoutOwner:
        return "here_without_owner";
    }
    return "here";
}

PlacementClient::PlacementClient(asio::io_context& io, std::string instance, FleetView& fleet, Dispatcher& dispatcher, TargetDirectory& directory, TargetLimits& targetLimits, OutputEstimator& outputEstimator, FleetLink& link)
    : m_io(io)
    , m_instance(std::move(instance))
    , m_incarnation(unixMilliseconds())
    , m_fleet(fleet)
    , m_dispatcher(dispatcher)
    , m_directory(directory)
    , m_targetLimits(targetLimits)
    , m_outputEstimator(outputEstimator)
    , m_link(link)
    // Starts above the sequence numbers of the previous incarnation, so that peers accept the new reports.
    , m_sequence(m_incarnation)
{
}

std::set<std::string> PlacementClient::unreachableOwners(TimePoint now)
{
    std::erase_if(m_unreachableUntil, [&](const auto& entry) { return entry.second <= now; });
    std::set<std::string> names;
    for (const auto& [name, until] : m_unreachableUntil)
        names.insert(name);
    return names;
}

void PlacementClient::markUnreachable(const std::string& owner)
{
    logEvent(LogLevel::Warning, "owner_unreachable", { { "owner", owner } });
    m_unreachableUntil[owner] = Clock::now() + ownerRetryDelay;
}

std::string PlacementClient::ownerOf(const std::string& service)
{
    auto now = Clock::now();
    return m_fleet.ownerOf(service, unreachableOwners(now), now);
}

void PlacementClient::setTarget(WorkId id, const std::string& target)
{
    m_dispatcher.setTarget(id, target);
    auto deciding = m_decidingInstances.find(id);
    reportChangedLoads(deciding == m_decidingInstances.end() ? m_instance : deciding->second);
}

Awaitable<PlacementOutcome> PlacementClient::place(PlacementRequest request)
{
    if (!request.engine) {
        request.loadsAreShared = m_fleet.usesSummaries();
        co_return co_await m_dispatcher.place(std::move(request));
    }
    auto decider = PlacementDecider::Here;
    for (int ownersTried = 0; ownersTried < OwnerQueryLimits::maxOwnersTried; ++ownersTried) {
        auto owner = ownerOf(request.service);
        if (owner == m_instance)
            break;
        auto outcome = co_await queryOwner(owner, request);
        if (outcome)
            co_return *outcome;
        decider = PlacementDecider::HereWithoutOwner;
        // An owner that responded stays the owner.
        if (ownerOf(request.service) == owner)
            break;
    }
    m_decidingInstances.insert_or_assign(request.id, m_instance);
    auto outcome = co_await m_dispatcher.place(std::move(request));
    reportChangedLoads(m_instance);
    if (outcome)
        outcome->decider = decider;
    co_return outcome;
}

Awaitable<std::optional<PlacementOutcome>> PlacementClient::queryOwner(const std::string& owner, PlacementRequest& request)
{
    auto queriedAt = Clock::now();
    auto lastPlacedAt = queriedAt;
    auto pending = std::make_shared<PendingQuery>(m_io);
    m_pendingQueries.insert_or_assign(request.id, pending);
    m_decidingInstances.insert_or_assign(request.id, owner);
    int unansweredQueries = 0;
    std::optional<PlacementOutcome> outcome;
    while (!outcome) {
        auto now = Clock::now();
        auto maxWait = std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(request.latestStart - now));
        PlacementQuery query { .requester = m_instance, .requesterIncarnation = m_incarnation, .id = request.id, .service = request.service, .organisation = request.organisation, .rank = request.rank, .estimate = request.estimate, .excluded = { request.excluded.begin(), request.excluded.end() }, .contentHash = request.contentHash, .maxWait = maxWait, .eventGapObjective = request.eventGapObjective, .promptParts = request.promptParts };
        m_link.send(owner, query);
        pending->response.reset();
        pending->wakeUp.expires_after(unansweredQueries == 0 && now - lastPlacedAt > OwnerQueryLimits::responseTimeout ? Clock::duration(waitingQueryInterval) : Clock::duration(OwnerQueryLimits::responseTimeout));
        co_await pending->wakeUp.async_wait(asTuple);
        if (pending->cancelled) {
            outcome = PlacementOutcome(PlacementRefusal { .cause = RefusalCause::Cancelled, .detail = "the caller disconnected" });
            break;
        }
        if (!pending->response) {
            if (++unansweredQueries < OwnerQueryLimits::maxUnansweredQueries)
                continue;
            markUnreachable(owner);
            break;
        }
        unansweredQueries = 0;
        auto effect = applyResponse(owner, request, *pending, queriedAt, outcome);
        if (effect == ResponseEffect::Waiting) {
            // The owner queued the request and responds again when it has decided.
            pending->response.reset();
            pending->wakeUp.expires_after(waitingQueryInterval);
            co_await pending->wakeUp.async_wait(asTuple);
            if (pending->response)
                effect = applyResponse(owner, request, *pending, queriedAt, outcome);
        }
        if (effect != ResponseEffect::GrantReturned)
            continue;
        if (pending->returnedTargets.size() >= maxReturnedGrants)
            break;
        lastPlacedAt = Clock::now();
    }
    m_pendingQueries.erase(request.id);
    bool granted = outcome && *outcome;
    if (!granted)
        release(request.id);
    co_return outcome;
}

/// The reason why this instance cannot use a target that the owner granted; empty if it can.
std::optional<std::string_view> PlacementClient::whyUnusable(const std::string& target, TimePoint now)
{
    const auto* entry = m_directory.find(target);
    if (!entry)
        return "unknown";
    if (entry->state != TargetState::Ready)
        return "draining";
    if (!m_directory.isUsable(target))
        return "evacuated";
    if (m_targetLimits.waitTime(target, now) > Clock::duration::zero())
        return "limited";
    return std::nullopt;
}

// The next query excludes the target of a returned grant, from which the owner sees that it is returned. A release message
// of its own could arrive after that query.
PlacementClient::ResponseEffect PlacementClient::applyResponse(const std::string& owner, PlacementRequest& request, PendingQuery& pending, TimePoint queriedAt, std::optional<PlacementOutcome>& outcome)
{
    const auto& response = *pending.response;
    if (response.status == PlacementStatus::Waiting)
        return ResponseEffect::Waiting;
    if (response.status == PlacementStatus::Refused) {
        outcome = PlacementOutcome(PlacementRefusal { .retryAfter = response.retryAfter, .detail = "the owner expects no capacity before the deadline" });
        return ResponseEffect::Decided;
    }
    auto now = Clock::now();
    if (auto reason = whyUnusable(response.target, now)) {
        pending.returnedTargets.insert(response.target);
        request.excluded.insert(response.target);
        logEvent(LogLevel::Info, "grant_returned", { { "owner", owner }, { "service", request.service }, { "target", response.target }, { "reason", std::string(*reason) }, { "returned", std::int64_t(pending.returnedTargets.size()) }, { "since_query_ms", std::chrono::duration_cast<Milliseconds>(now - queriedAt).count() }, { "time_left_ms", std::chrono::duration_cast<Milliseconds>(request.latestStart - now).count() } });
        if (m_unusableGrantListener)
            m_unusableGrantListener(*reason);
        return ResponseEffect::GrantReturned;
    }
    auto& lastAccepted = m_lastAcceptedGrants[owner];
    lastAccepted = std::max(lastAccepted, response.grantNumber);
    m_dispatcher.onGrantedByOwner(request, response.target);
    // The owner of a large fleet's pool counts its grants until the next complete report.
    reportChangedLoads(m_instance);
    outcome = PlacementOutcome(Placement { .target = *m_directory.find(response.target), .targetRequests = response.targetRequests, .targetTokens = response.targetTokens, .time = ExpectedTime { .toFirstEventMs = static_cast<double>(response.expectedFirstEvent.count()), .toEndMs = static_cast<double>(response.expectedEnd.count()) }, .waited = now - queriedAt, .late = response.late, .decider = PlacementDecider::Owner });
    return ResponseEffect::Decided;
}

void PlacementClient::onResponse(const PlacementResponse& response)
{
    auto found = m_pendingQueries.find(response.id);
    if (found == m_pendingQueries.end() || found->second->returnedTargets.contains(response.target))
        return;
    found->second->response = response;
    found->second->wakeUp.cancel();
}

void PlacementClient::cancel(WorkId id)
{
    m_dispatcher.cancel(id);
    auto found = m_pendingQueries.find(id);
    if (found == m_pendingQueries.end())
        return;
    found->second->cancelled = true;
    found->second->wakeUp.cancel();
}

void PlacementClient::release(WorkId id)
{
    m_dispatcher.release(id);
    auto found = m_decidingInstances.find(id);
    // Plain requests are short, so the periodic complete reports suffice.
    if (found == m_decidingInstances.end())
        return;
    auto decidingInstance = std::move(found->second);
    m_decidingInstances.erase(found);
    if (decidingInstance != m_instance)
        m_link.send(decidingInstance, PlacementRelease { .requester = m_instance, .requesterIncarnation = m_incarnation, .id = id });
    reportChangedLoads(decidingInstance);
}

InstanceLoadReport PlacementClient::makeReport(bool complete)
{
    auto& ledger = m_dispatcher.ledger();
    auto changedTargets = ledger.takeChangedTargets();
    InstanceLoadReport report { .instance = m_instance, .sequence = ++m_sequence, .complete = complete, .lastAcceptedGrants = m_lastAcceptedGrants, .limits = m_targetLimits.ownLimits(Clock::now()), .relaysForPeers = m_relaysForPeers, .unreachableServices = m_dispatcher.targetPath().lostServices(), .storeEra = m_storeEra, .configurationVersion = m_configurationVersion, .aggregators = m_fleet.ownAggregators() };
    if (complete) {
        report.loads = ledger.localLoads();
        return report;
    }
    for (const auto& target : changedTargets)
        report.loads.emplace(target, ledger.localLoad(target));
    return report;
}

/// Each outcome is reported once, so it belongs in a report that all recipients get.
void PlacementClient::addUnreported(InstanceLoadReport& report)
{
    for (const auto& service : report.unreachableServices)
        m_dispatcher.forgetOutcomes(service);
    report.outcomes = m_dispatcher.outcomes().takeUnreported();
    report.lengths = m_outputEstimator.takeUnreported();
}

InstanceLoadReport PlacementClient::sendLoadReport()
{
    auto report = makeReport(true);
    addUnreported(report);
    if (needsReport())
        m_dispatcher.paces().onRecipientsChanged();
    // Changes of load are reported with each request, paces only here: they change more slowly.
    report.paces = m_dispatcher.paces().takeUnreported(Clock::now());
    m_link.sendTo(m_fleet.reportRecipients(Clock::now()), report);
    m_reportedAggregators = report.aggregators;
    return report;
}

/// In a large fleet only the instance that places the work needs to know at once that a target has room.
void PlacementClient::reportChangedLoads(const std::string& decidingInstance)
{
    if (!m_dispatcher.ledger().hasChangedTargets())
        return;
    if (m_fleet.usesSummaries()) {
        if (decidingInstance != m_instance)
            m_link.send(decidingInstance, makeReport(false));
        return;
    }
    auto report = makeReport(false);
    addUnreported(report);
    m_link.sendTo(m_fleet.reportRecipients(Clock::now()), report);
}

void PlacementClient::onSummary(const FleetSummary& summary, TimePoint now)
{
    if (!m_fleet.onSummary(summary, now))
        return;
    m_dispatcher.ledger().setPeerLoads(summarisedInstances, summary.loads);
    m_dispatcher.outcomes().onPeerOutcomes(summary.outcomes, now);
    m_outputEstimator.onPeerLengthSums(summary.lengths);
    m_targetLimits.onPeerLimits(summary.limits, now);
    m_dispatcher.paces().onPeerPaces(summary.aggregator, summary.paces, now);
    m_dispatcher.placeWaiting();
}

void PlacementClient::expireSummary(TimePoint now)
{
    if (!m_fleet.hasRecentSummary(now))
        m_dispatcher.ledger().removePeer(summarisedInstances);
}

void PlacementClient::onLoadReport(const InstanceLoadReport& report, TimePoint now)
{
    if (!m_fleet.onReport(report, now))
        return;
    if (report.complete)
        m_dispatcher.ledger().setPeerLoads(report.instance, report.loads);
    else
        m_dispatcher.ledger().updatePeerLoads(report.instance, report.loads);
    m_dispatcher.outcomes().onPeerOutcomes(report.outcomes, now);
    m_outputEstimator.onPeerLengthSums(report.lengths);
    m_targetLimits.onPeerLimits(report.limits, now);
    m_dispatcher.paces().onPeerPaces(report.instance, report.paces, now);
    m_dispatcher.placeWaiting();
}

}
