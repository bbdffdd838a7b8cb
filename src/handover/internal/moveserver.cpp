#include "handover/moveserver.h"

namespace guavaspan {

MoveServer::MoveServer(std::string instance, Dispatcher& dispatcher, ActiveConfiguration& configuration, FleetLink& link)
    : m_instance(std::move(instance))
    , m_dispatcher(dispatcher)
    , m_configuration(configuration)
    , m_link(link)
{
}

std::string MoveServer::keyOf(const std::string& requester, std::int64_t requesterIncarnation, WorkId id)
{
    return requester + "/" + std::to_string(requesterIncarnation) + "/" + std::to_string(id);
}

std::optional<std::string> MoveServer::chooseDestination(const PendingMove& move, const std::set<std::string>& excluded)
{
    const auto& query = m_trackedMoves.at(move.key).query;
    auto table = m_configuration.table();
    const auto* service = table ? table->service(query.service) : nullptr;
    if (!service || !service->engine)
        return std::nullopt;
    TargetEntry source { .id = query.source, .service = query.service, .failureDomain = query.sourceFailureDomain };
    WorkEstimate estimate { .copiedTokens = query.tokensHeld, .outputTokens = query.remainingTokens };
    return m_dispatcher.chooseDestination(source, *service->engine, estimate, excluded);
}

void MoveServer::respond(const MoveQuery& query, const std::string& destination)
{
    MoveResponse response { .owner = m_instance, .id = query.id, .destination = destination };
    if (query.requester == m_instance)
        m_localResponseListener(response);
    else
        m_link.send(query.requester, response);
}

void MoveServer::startMoves(TimePoint now)
{
    auto choose = [this](const PendingMove& move, const std::set<std::string>& excluded) { return chooseDestination(move, excluded); };
    for (const auto& move : m_scheduler.schedule(choose, now)) {
        auto& tracked = m_trackedMoves.at(move.key);
        tracked.reservation = m_dispatcher.nextId();
        m_dispatcher.onMoveGranted(tracked.reservation, move.destination, { .copiedTokens = tracked.query.tokensHeld, .outputTokens = tracked.query.remainingTokens });
        respond(tracked.query, move.destination);
    }
}

void MoveServer::onQuery(const MoveQuery& query)
{
    auto now = Clock::now();
    auto key = keyOf(query.requester, query.requesterIncarnation, query.id);
    if (const auto* move = m_scheduler.activeMove(key)) {
        // A repeated query for a move in progress: the earlier response was lost.
        respond(query, move->destination);
        return;
    }
    m_trackedMoves.insert_or_assign(key, TrackedMove { .query = query });
    m_scheduler.add({ .key = key, .source = query.source, .tokensHeld = query.tokensHeld, .expectedRemainingTokens = query.remainingTokens, .excludedDestinations = { query.excluded.begin(), query.excluded.end() } }, now);
    startMoves(now);
    if (!m_scheduler.activeMove(key))
        respond(query, {});
}

void MoveServer::release(const std::string& key)
{
    m_scheduler.remove(key);
    auto found = m_trackedMoves.find(key);
    if (found == m_trackedMoves.end())
        return;
    m_dispatcher.ledger().end(found->second.reservation);
    m_trackedMoves.erase(found);
}

void MoveServer::onRelease(const MoveRelease& message)
{
    release(keyOf(message.requester, message.requesterIncarnation, message.id));
    startMoves(Clock::now());
}

void MoveServer::onTick(TimePoint now)
{
    for (const auto& key : m_scheduler.expire(now))
        release(key);
    startMoves(now);
    std::erase_if(m_trackedMoves, [&](const auto& entry) { return !m_scheduler.contains(entry.first); });
}

}
