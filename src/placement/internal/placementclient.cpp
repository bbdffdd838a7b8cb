#include "placement/placementclient.h"

#include "common/log.h"

namespace guavaspan {

namespace {

    /// An owner answers within a round trip of some ms; a lost datagram is sent again after this.
    constexpr auto firstAnswerTime = Milliseconds(35);
    /// Pause between signs that a waiting request is still wanted.
    constexpr auto waitingPause = Milliseconds(200);
    /// Asks without any answer after which an owner is taken for unreachable.
    constexpr int mostUnanswered = 3;
    /// Time in which an unreachable owner is not asked again.
    constexpr auto suspicionTime = Milliseconds(1500);
    /// Owners tried before this instance decides alone.
    constexpr int mostOwners = 2;

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

PlacementClient::PlacementClient(asio::io_context& io, std::string instance, FleetView& fleet, Dispatcher& dispatcher, TargetDirectory& directory, OutputEstimator& outputs, FleetLink& link)
    : m_io(io)
    , m_instance(std::move(instance))
    , m_incarnation(unixMilliseconds())
    , m_fleet(fleet)
    , m_dispatcher(dispatcher)
    , m_directory(directory)
    , m_outputs(outputs)
    , m_link(link)
    // A new life goes on above the old one's numbers, so that its reports are taken for newer.
    , m_sequence(m_incarnation)
{
}

std::set<std::string> PlacementClient::suspects(TimePoint now)
{
    std::erase_if(m_suspectUntil, [&](const auto& each) { return each.second <= now; });
    std::set<std::string> names;
    for (const auto& [name, until] : m_suspectUntil)
        names.insert(name);
    return names;
}

void PlacementClient::suspect(const std::string& owner)
{
    logEvent(LogLevel::Warning, "owner_unreachable", { { "owner", owner } });
    m_suspectUntil[owner] = Clock::now() + suspicionTime;
}

std::string PlacementClient::ownerOf(const std::string& service)
{
    auto now = Clock::now();
    return m_fleet.ownerOf(service, suspects(now), now);
}

void PlacementClient::moved(WorkId id, const std::string& target)
{
    m_dispatcher.setTarget(id, target);
    sendLoadReport(false);
}

Awaitable<PlacementOutcome> PlacementClient::place(PlacementRequest request)
{
    if (!request.engine)
        co_return co_await m_dispatcher.place(std::move(request));
    auto decider = PlacementDecider::Here;
    for (int tries = 0; tries < mostOwners; ++tries) {
        auto owner = ownerOf(request.service);
        if (owner == m_instance)
            break;
        auto outcome = co_await askOwner(owner, request);
        if (outcome)
            co_return *outcome;
        decider = PlacementDecider::HereWithoutOwner;
    }
    m_grantedBy.insert_or_assign(request.id, m_instance);
    auto outcome = co_await m_dispatcher.place(std::move(request));
    sendLoadReport(false);
    if (outcome)
        outcome->decider = decider;
    co_return outcome;
}

Awaitable<std::optional<PlacementOutcome>> PlacementClient::askOwner(const std::string& owner, const PlacementRequest& request)
{
    auto askedAt = Clock::now();
    auto pending = std::make_shared<Pending>(m_io);
    m_pending.insert_or_assign(request.id, pending);
    m_grantedBy.insert_or_assign(request.id, owner);
    int unanswered = 0;
    std::optional<PlacementOutcome> outcome;
    while (!outcome) {
        auto now = Clock::now();
        auto maxWait = std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(request.latestStart - now));
        PlacementQuery ask { .requester = m_instance, .requesterIncarnation = m_incarnation, .id = request.id, .service = request.service, .organisation = request.organisation, .rank = request.rank, .estimate = request.estimate, .excluded = { request.excluded.begin(), request.excluded.end() }, .contentHash = request.contentHash, .maxWait = maxWait };
        m_link.send(owner, ask);
        pending->answer.reset();
        pending->wakeUp.expires_after(unanswered == 0 && now - askedAt > firstAnswerTime ? Clock::duration(waitingPause) : Clock::duration(firstAnswerTime));
        co_await pending->wakeUp.async_wait(asTuple);
        if (pending->cancelled) {
            outcome = PlacementOutcome(PlacementRefusal { .cause = RefusalCause::Cancelled, .detail = "the caller left" });
            break;
        }
        if (!pending->answer) {
            if (++unanswered < mostUnanswered)
                continue;
            suspect(owner);
            break;
        }
        unanswered = 0;
        outcome = settle(owner, request, *pending->answer, askedAt);
        if (!outcome) {
            // It waits; the next answer comes when something changes.
            pending->answer.reset();
            pending->wakeUp.expires_after(waitingPause);
            co_await pending->wakeUp.async_wait(asTuple);
            if (pending->answer)
                outcome = settle(owner, request, *pending->answer, askedAt);
        }
    }
    m_pending.erase(request.id);
    bool granted = outcome && *outcome;
    if (!granted)
        ended(request.id);
    co_return outcome;
}

std::optional<PlacementOutcome> PlacementClient::settle(const std::string& owner, const PlacementRequest& request, const PlacementResponse& answer, TimePoint askedAt)
{
    if (answer.kind == PlacementStatus::Waiting)
        return std::nullopt;
    if (answer.kind == PlacementStatus::Refused)
        return PlacementOutcome(PlacementRefusal { .retryAfter = answer.retryAfter, .detail = "the owner expects no room in time" });
    auto& taken = m_grantsTaken[owner];
    taken = std::max(taken, answer.grantNumber);
    m_dispatcher.onGrantedByOwner(request, answer.target);
    sendLoadReport(false);
    const auto* target = m_directory.find(answer.target);
    if (!target || !m_directory.isUsable(answer.target))
        return PlacementOutcome(PlacementRefusal { .retryAfter = m_dispatcher.retryAfter(request.service, request.organisation, request.rank, request.estimate), .detail = "the granted target is not known here" });
    return PlacementOutcome(Placement { .target = *target, .targetRequests = answer.targetRequests, .targetTokens = answer.targetTokens, .waited = Clock::now() - askedAt, .late = answer.late, .decider = PlacementDecider::Owner });
}

void PlacementClient::onAnswer(const PlacementResponse& answer)
{
    auto found = m_pending.find(answer.id);
    if (found == m_pending.end())
        return;
    found->second->answer = answer;
    found->second->wakeUp.cancel();
}

void PlacementClient::cancel(WorkId id)
{
    m_dispatcher.cancel(id);
    auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    found->second->cancelled = true;
    found->second->wakeUp.cancel();
}

void PlacementClient::ended(WorkId id)
{
    m_dispatcher.ended(id);
    auto granted = m_grantedBy.find(id);
    // Plain work is short; whole reports tell enough of it.
    if (granted == m_grantedBy.end())
        return;
    if (granted->second != m_instance)
        m_link.send(granted->second, PlacementRelease { .requester = m_instance, .requesterIncarnation = m_incarnation, .id = id });
    m_grantedBy.erase(granted);
    sendLoadReport(false);
}

void PlacementClient::sendLoadReport(bool complete)
{
    auto& ledger = m_dispatcher.ledger();
    auto changed = ledger.takeChangedTargets();
    if (!complete && changed.empty())
        return;
    InstanceLoadReport report { .instance = m_instance, .sequence = ++m_sequence, .complete = complete, .lastAcceptedGrants = m_grantsTaken, .outcomes = m_dispatcher.outcomes().takeUnreported(), .lengths = m_outputs.takeUnreported() };
    if (complete) {
        report.loads = ledger.localLoads();
    } else {
        for (const auto& target : changed)
            report.loads.emplace(target, ledger.localLoad(target));
    }
    m_link.sendToAll(report);
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
    m_outputs.onPeerLengthSums(report.lengths);
    m_dispatcher.placeWaiting();
}

}
