#include "handover/moveserver.h"

namespace guavaspan {

MoveServer::MoveServer(std::string instance, Dispatcher& dispatcher, ActiveConfiguration& gate, FleetLink& link)
    : m_instance(std::move(instance))
    , m_dispatcher(dispatcher)
    , m_gate(gate)
    , m_link(link)
{
}

std::string MoveServer::keyOf(const std::string& requester, std::int64_t requesterIncarnation, WorkId id)
{
    return requester + "/" + std::to_string(requesterIncarnation) + "/" + std::to_string(id);
}

std::optional<std::string> MoveServer::chooseDestination(const PendingMove& request, const std::set<std::string>& excluded)
{
    const auto& ask = m_trackedMoves.at(request.key).ask;
    auto table = m_gate.table();
    const auto* service = table ? table->service(ask.service) : nullptr;
    if (!service || !service->engine)
        return std::nullopt;
    TargetEntry source { .id = ask.source, .service = ask.service, .failureDomain = ask.sourceFailureDomain };
    WorkEstimate estimate { .copiedTokens = ask.tokensHeld, .outputTokens = ask.remainingTokens };
    return m_dispatcher.chooseDestination(source, *service->engine, estimate, excluded);
}

void MoveServer::answer(const MoveQuery& ask, const std::string& destination)
{
    MoveResponse answer { .owner = m_instance, .id = ask.id, .destination = destination };
    if (ask.requester == m_instance)
        m_onLocalAnswer(answer);
    else
        m_link.send(ask.requester, answer);
}

void MoveServer::startMoves(TimePoint now)
{
    auto choose = [this](const PendingMove& request, const std::set<std::string>& excluded) { return chooseDestination(request, excluded); };
    for (const auto& turn : m_scheduler.grant(choose, now)) {
        auto& tracked = m_trackedMoves.at(turn.key);
        tracked.reservation = m_dispatcher.nextId();
        m_dispatcher.ledger().beginForPeer(tracked.reservation, turn.destination, { .copiedTokens = tracked.ask.tokensHeld, .outputTokens = tracked.ask.remainingTokens });
        answer(tracked.ask, turn.destination);
    }
}

void MoveServer::onMoveRequest(const MoveQuery& ask)
{
    auto now = Clock::now();
    auto key = keyOf(ask.requester, ask.requesterIncarnation, ask.id);
    if (const auto* turn = m_scheduler.activeMove(key)) {
        // The answer was lost.
        answer(ask, turn->destination);
        return;
    }
    m_trackedMoves.insert_or_assign(key, TrackedMove { .ask = ask });
    m_scheduler.ask({ .key = key, .source = ask.source, .tokensHeld = ask.tokensHeld, .expectedRemainingTokens = ask.remainingTokens, .excluded = { ask.excluded.begin(), ask.excluded.end() } }, now);
    startMoves(now);
    if (!m_scheduler.activeMove(key))
        answer(ask, {});
}

void MoveServer::release(const std::string& key)
{
    m_scheduler.end(key);
    auto found = m_trackedMoves.find(key);
    if (found == m_trackedMoves.end())
        return;
    m_dispatcher.ledger().end(found->second.reservation);
    m_trackedMoves.erase(found);
}

void MoveServer::onMoveEnded(const MoveRelease& ended)
{
    release(keyOf(ended.requester, ended.requesterIncarnation, ended.id));
    startMoves(Clock::now());
}

void MoveServer::onTick(TimePoint now)
{
    for (const auto& key : m_scheduler.expire(now))
        release(key);
    startMoves(now);
    std::erase_if(m_trackedMoves, [&](const auto& each) { return !m_scheduler.contains(each.first); });
}

}
