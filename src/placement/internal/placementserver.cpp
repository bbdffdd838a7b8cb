#include "placement/placementserver.h"

#include "net/eventloop.h"

#include <algorithm>
#include <cmath>

namespace guavaspan {

namespace {

    /// Requesters repeat a waiting query several times a second; a query that is no longer repeated is
    /// removed after this time.
    constexpr auto waitingQueryTimeout = Milliseconds(1000);
    /// Longest time that a generation may take. Granted work is then released even if no release message arrived.
    constexpr auto grantTimeout = Seconds(60);

}

PlacementServer::PlacementServer(asio::io_context& io, std::string instance, Dispatcher& dispatcher, ActiveConfiguration& configuration, FleetLink& link)
    : m_io(io)
    , m_instance(std::move(instance))
    , m_dispatcher(dispatcher)
    , m_configuration(configuration)
    , m_link(link)
{
}

/// A requester that cannot use its grant repeats the query and excludes the target.
bool PlacementServer::returnsGrant(const PlacementQuery& query, const TrackedQuery& tracked)
{
    bool excludesTarget = std::find(query.excluded.begin(), query.excluded.end(), tracked.response.target) != query.excluded.end();
    return tracked.response.status == PlacementStatus::Granted && excludesTarget;
}

void PlacementServer::onQuery(const PlacementQuery& query)
{
    auto now = Clock::now();
    QueryKey key { .requester = query.requester, .incarnation = query.requesterIncarnation, .id = query.id };
    auto existing = m_queries.find(key);
    if (existing != m_queries.end() && returnsGrant(query, existing->second)) {
        removeQuery(existing);
        existing = m_queries.end();
    }
    if (existing != m_queries.end()) {
        existing->second.lastReceived = now;
        m_link.send(query.requester, existing->second.response);
        return;
    }
    auto table = m_configuration.table();
    const auto* service = table ? table->service(query.service) : nullptr;
    // Without the service's traits this instance cannot decide. The requester times out and decides itself.
    if (!service)
        return;
    PlacementRequest request {
        .id = m_dispatcher.nextId(),
        .service = query.service,
        .engine = service->engine,
        .organisation = query.organisation,
        .rank = query.rank,
        .estimate = query.estimate,
        .excluded = { query.excluded.begin(), query.excluded.end() },
        .contentHash = query.contentHash,
        .eventGapObjective = query.eventGapObjective,
        .promptParts = query.promptParts,
        .latestStart = now + query.maxWait,
    };
    m_queries.emplace(key, TrackedQuery { .workId = request.id, .response = { .owner = m_instance, .id = query.id }, .lastReceived = now });
    asio::co_spawn(m_io, decide(std::move(key), std::move(request)), reportFailedHandler);
}

Awaitable<> PlacementServer::decide(QueryKey key, PlacementRequest request)
{
    auto workId = request.id;
    auto requester = key.requester;
    bool queued = m_dispatcher.waitingCount() > 0;
    if (queued)
        m_link.send(requester, m_queries.at(key).response);
    auto outcome = co_await m_dispatcher.placeForPeer(std::move(request));
    auto found = m_queries.find(key);
    if (found == m_queries.end()) {
        // The requester released the query or timed out meanwhile.
        m_dispatcher.release(workId);
        co_return;
    }
    auto& response = found->second.response;
    if (outcome) {
        response.status = PlacementStatus::Granted;
        response.target = outcome->target.id;
        response.grantNumber = ++m_lastGrantNumbers[requester];
        response.targetRequests = outcome->targetRequests;
        response.targetTokens = outcome->targetTokens;
        response.late = outcome->late;
        if (outcome->time) {
            response.expectedFirstEvent = Milliseconds(std::llround(outcome->time->toFirstEventMs));
            response.expectedEnd = Milliseconds(std::llround(outcome->time->toEndMs));
        }
    } else {
        response.status = PlacementStatus::Refused;
        response.retryAfter = std::chrono::duration_cast<Milliseconds>(outcome.error().retryAfter);
        m_dispatcher.release(workId);
    }
    m_link.send(requester, response);
}

void PlacementServer::removeQuery(std::map<QueryKey, TrackedQuery>::iterator query)
{
    auto workId = query->second.workId;
    bool waiting = query->second.response.status == PlacementStatus::Waiting;
    m_queries.erase(query);
    if (waiting)
        m_dispatcher.cancel(workId);
    else
        m_dispatcher.release(workId);
}

void PlacementServer::onRelease(const PlacementRelease& release)
{
    auto found = m_queries.find({ .requester = release.requester, .incarnation = release.requesterIncarnation, .id = release.id });
    if (found != m_queries.end())
        removeQuery(found);
}

void PlacementServer::onLoadReport(const InstanceLoadReport& report)
{
    auto lastAccepted = report.lastAcceptedGrants.find(m_instance);
    if (lastAccepted == report.lastAcceptedGrants.end())
        return;
    for (auto& [key, query] : m_queries) {
        bool covered = key.requester == report.instance && query.response.status == PlacementStatus::Granted && query.response.grantNumber <= lastAccepted->second;
        if (!covered || query.reported)
            continue;
        query.reported = true;
        m_dispatcher.onReportedByPeer(query.workId);
    }
}

void PlacementServer::onTick(TimePoint now)
{
    for (auto query = m_queries.begin(); query != m_queries.end();) {
        auto current = query++;
        bool waiting = current->second.response.status == PlacementStatus::Waiting;
        auto timeout = waiting ? Clock::duration(waitingQueryTimeout) : Clock::duration(grantTimeout);
        if (current->second.lastReceived + timeout < now)
            removeQuery(current);
    }
}

}
