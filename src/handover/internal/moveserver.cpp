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
    const auto& request = m_trackedMoves.at(move.key).request;
    auto table = m_configuration.table();
    const auto* service = table ? table->service(request.service) : nullptr;
    if (!service || !service->engine)
        return std::nullopt;
    TargetEntry source { .id = request.source, .service = request.service, .failureDomain = request.sourceFailureDomain };
    WorkEstimate estimate { .copiedTokens = request.tokensHeld, .outputTokens = request.remainingTokens };
    return m_dispatcher.chooseDestination(source, *service->engine, estimate, excluded);
}

void MoveServer::answer(const MoveQuery& request, const std::string& destination)
{
    MoveResponse answer { .owner = m_instance, .id = request.id, .destination = destination };
    if (request.requester == m_instance)
        m_localResponseListener(answer);
    else
        m_link.send(request.requester, answer);
}

void MoveServer::startMoves(TimePoint now)
{
    auto choose = [this](const PendingMove& move, const std::set<std::string>& excluded) { return chooseDestination(move, excluded); };
    for (const auto& move : m_scheduler.schedule(choose, now)) {
        auto& tracked = m_trackedMoves.at(move.key);
        tracked.reservation = m_dispatcher.nextId();
        m_dispatcher.ledger().beginForPeer(tracked.reservation, move.destination, { .copiedTokens = tracked.request.tokensHeld, .outputTokens = tracked.request.remainingTokens });
        answer(tracked.request, move.destination);
    }
}

void MoveServer::onQuery(const MoveQuery& request)
{
    auto now = Clock::now();
    auto key = keyOf(request.requester, request.requesterIncarnation, request.id);
    if (const auto* move = m_scheduler.activeMove(key)) {
        // A repeated request for a move in progress: the earlier answer was lost.
        answer(request, move->destination);
        return;
    }
    m_trackedMoves.insert_or_assign(key, TrackedMove { .request = request });
    m_scheduler.add({ .key = key, .source = request.source, .tokensHeld = request.tokensHeld, .expectedRemainingTokens = request.remainingTokens, .excludedDestinations = { request.excluded.begin(), request.excluded.end() } }, now);
    startMoves(now);
    if (!m_scheduler.activeMove(key))
        answer(request, {});
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

void MoveServer::onRelease(const MoveRelease& ended)
{
    release(keyOf(ended.requester, ended.requesterIncarnation, ended.id));
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
