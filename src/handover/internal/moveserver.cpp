#include "handover/moveserver.h"

namespace guavaspan {

MoveServer::MoveServer(std::string instance, Dispatcher& dispatcher, ConfigurationGate& gate, FleetLink& link)
    : m_instance(std::move(instance))
    , m_dispatcher(dispatcher)
    , m_gate(gate)
    , m_link(link)
{
}

std::string MoveServer::keyOf(const std::string& requester, std::int64_t life, WorkId id)
{
    return requester + "/" + std::to_string(life) + "/" + std::to_string(id);
}

std::optional<std::string> MoveServer::chooseDestination(const MoveRequest& request, const std::set<std::string>& excluded)
{
    const auto& ask = m_known.at(request.key).ask;
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
        m_ownAnswer(answer);
    else
        m_link.send(ask.requester, answer);
}

void MoveServer::pump(TimePoint now)
{
    auto choose = [this](const MoveRequest& request, const std::set<std::string>& excluded) { return chooseDestination(request, excluded); };
    for (const auto& turn : m_turns.grant(choose, now)) {
        auto& known = m_known.at(turn.key);
        known.reservation = m_dispatcher.nextId();
        m_dispatcher.ledger().beginForPeer(known.reservation, turn.destination, { .copiedTokens = known.ask.tokensHeld, .outputTokens = known.ask.remainingTokens });
        answer(known.ask, turn.destination);
    }
}

void MoveServer::onAsk(const MoveQuery& ask)
{
    auto now = Clock::now();
    auto key = keyOf(ask.requester, ask.requesterIncarnation, ask.id);
    if (const auto* turn = m_turns.turnOf(key)) {
        // The answer was lost.
        answer(ask, turn->destination);
        return;
    }
    m_known.insert_or_assign(key, Known { .ask = ask });
    m_turns.ask({ .key = key, .source = ask.source, .tokensHeld = ask.tokensHeld, .expectedRemainingTokens = ask.remainingTokens, .excluded = { ask.excluded.begin(), ask.excluded.end() } }, now);
    pump(now);
    if (!m_turns.turnOf(key))
        answer(ask, {});
}

void MoveServer::finish(const std::string& key)
{
    m_turns.end(key);
    auto found = m_known.find(key);
    if (found == m_known.end())
        return;
    m_dispatcher.ledger().end(found->second.reservation);
    m_known.erase(found);
}

void MoveServer::onEnded(const MoveRelease& ended)
{
    finish(keyOf(ended.requester, ended.requesterIncarnation, ended.id));
    pump(Clock::now());
}

void MoveServer::onTick(TimePoint now)
{
    for (const auto& key : m_turns.expire(now))
        finish(key);
    pump(now);
    std::erase_if(m_known, [&](const auto& each) { return !m_turns.knows(each.first); });
}

}
