#include "handover/moveserver.h"

#include <algorithm>

namespace guavaspan {

namespace {

    Clock::duration copyTimeOf(const MoveQuery& query, const std::optional<EngineTraits>& engine)
    {
        if (!engine || engine->linkMegabitsPerSecond <= 0)
            return {};
        double bits = 8.0 * static_cast<double>(engine->bytesPerToken) * query.tokensHeld;
        return fromSeconds(bits / (engine->linkMegabitsPerSecond * 1e6));
    }

}

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

std::optional<EngineTraits> MoveServer::engineOf(const std::string& service) const
{
    auto table = m_configuration.table();
    const auto* info = table ? table->service(service) : nullptr;
    return info ? info->engine : std::nullopt;
}

std::optional<std::string> MoveServer::chooseDestination(const PendingMove& move, const std::set<std::string>& excluded)
{
    const auto& query = m_trackedMoves.at(move.key).query;
    auto engine = engineOf(query.service);
    if (!engine)
        return std::nullopt;
    TargetEntry source { .id = query.source, .service = query.service, .failureDomain = query.sourceFailureDomain };
    WorkEstimate estimate { .copiedTokens = query.tokensHeld, .outputTokens = query.remainingTokens };
    return m_dispatcher.chooseDestination(source, *engine, estimate, excluded);
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
    reserveRoom(now);
}

void MoveServer::reserveRoom(TimePoint now)
{
    std::set<std::string> services;
    for (const auto& [key, tracked] : m_trackedMoves)
        services.insert(tracked.query.service);
    m_movingServices.insert(services.begin(), services.end());
    for (const auto& service : m_movingServices) {
        auto isOfService = [&](const PendingMove& move) { return m_trackedMoves.at(move.key).query.service == service; };
        m_dispatcher.setMovingTokens(service, m_scheduler.queuedTokens(isOfService, now));
    }
    m_movingServices = std::move(services);
}

void MoveServer::onQuery(const MoveQuery& query)
{
    auto now = Clock::now();
    auto key = keyOf(query.requester, query.requesterIncarnation, query.id);
    if (const auto* move = m_scheduler.activeMove(key)) {
        bool isRejected = std::find(query.excluded.begin(), query.excluded.end(), move->destination) != query.excluded.end();
        if (!isRejected) {
            // A repeated query for a move in progress: the earlier response was lost.
            respond(query, move->destination);
            return;
        }
        // The release of the rejected destination was lost or comes later.
        release(key);
    }
    m_trackedMoves.insert_or_assign(key, TrackedMove { .query = query });
    PendingMove move { .key = key, .source = query.source, .tokensHeld = query.tokensHeld, .expectedRemainingTokens = query.remainingTokens, .excludedDestinations = { query.excluded.begin(), query.excluded.end() } };
    move.copyTime = copyTimeOf(query, engineOf(query.service));
    if (query.timeToShutdown)
        move.shutdownAt = now + *query.timeToShutdown;
    m_scheduler.add(std::move(move), now);
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
    auto now = Clock::now();
    auto key = keyOf(message.requester, message.requesterIncarnation, message.id);
    const auto* move = m_scheduler.activeMove(key);
    std::string fullDestination = message.destinationFull && move ? move->destination : "";
    auto tracked = m_trackedMoves.find(key);
    auto query = tracked == m_trackedMoves.end() ? MoveQuery {} : tracked->second.query;
    release(key);
    auto engine = engineOf(query.service);
    if (!fullDestination.empty() && engine)
        m_dispatcher.onDestinationFull(fullDestination, *engine, query.tokensHeld, now);
    startMoves(now);
}

void MoveServer::onTick(TimePoint now)
{
    for (const auto& key : m_scheduler.expire(now))
        release(key);
    std::erase_if(m_trackedMoves, [&](const auto& entry) { return !m_scheduler.contains(entry.first); });
    startMoves(now);
}

}
