#include "placement/placementserver.h"

namespace guavaspan {

namespace {

    /// A waiting ask is repeated several times a second; after this its asker is taken for gone.
    constexpr auto waitingSilence = Milliseconds(1000);
    /// Granted work whose end was never told is forgotten after the longest that a generation may take.
    constexpr auto longestWork = Seconds(60);

}

PlacementServer::PlacementServer(asio::io_context& io, std::string instance, Dispatcher& dispatcher, ActiveConfiguration& gate, FleetLink& link)
    : m_io(io)
    , m_instance(std::move(instance))
    , m_dispatcher(dispatcher)
    , m_gate(gate)
    , m_link(link)
{
}

void PlacementServer::onAsk(const PlacementQuery& ask)
{
    auto now = Clock::now();
    AskKey key { .requester = ask.requester, .incarnation = ask.requesterIncarnation, .id = ask.id };
    auto known = m_asks.find(key);
    if (known != m_asks.end()) {
        known->second.lastHeard = now;
        m_link.send(ask.requester, known->second.answer);
        return;
    }
    auto table = m_gate.table();
    const auto* service = table ? table->service(ask.service) : nullptr;
    // Without the service's traits this instance cannot decide, and the asker does so itself.
    if (!service)
        return;
    PlacementRequest request {
        .id = m_dispatcher.nextId(),
        .service = ask.service,
        .engine = service->engine,
        .organisation = ask.organisation,
        .rank = ask.rank,
        .estimate = ask.estimate,
        .excluded = { ask.excluded.begin(), ask.excluded.end() },
        .contentHash = ask.contentHash,
        .latestStart = now + ask.maxWait,
    };
    m_asks.emplace(key, Ask { .work = request.id, .answer = { .owner = m_instance, .id = ask.id }, .lastHeard = now });
    asio::co_spawn(m_io, decide(std::move(key), std::move(request)), asio::detached);
}

Awaitable<> PlacementServer::decide(AskKey key, PlacementRequest request)
{
    auto work = request.id;
    auto requester = key.requester;
    bool waits = m_dispatcher.waiting() > 0;
    if (waits)
        m_link.send(requester, m_asks.at(key).answer);
    auto outcome = co_await m_dispatcher.placeForPeer(std::move(request));
    auto found = m_asks.find(key);
    if (found == m_asks.end()) {
        // The asker gave it up meanwhile.
        m_dispatcher.ended(work);
        co_return;
    }
    auto& answer = found->second.answer;
    if (outcome) {
        answer.kind = PlacementStatus::Granted;
        answer.target = outcome->target.id;
        answer.grantNumber = ++m_grantNumbers[requester];
        answer.targetRequests = outcome->targetRequests;
        answer.targetTokens = outcome->targetTokens;
        answer.late = outcome->late;
    } else {
        answer.kind = PlacementStatus::Refused;
        answer.retryAfter = std::chrono::duration_cast<Milliseconds>(outcome.error().retryAfter);
        m_dispatcher.ended(work);
    }
    m_link.send(requester, answer);
}

void PlacementServer::finish(std::map<AskKey, Ask>::iterator ask)
{
    auto work = ask->second.work;
    bool waiting = ask->second.answer.kind == PlacementStatus::Waiting;
    m_asks.erase(ask);
    if (waiting)
        m_dispatcher.cancel(work);
    else
        m_dispatcher.ended(work);
}

void PlacementServer::onEnded(const PlacementRelease& ended)
{
    auto found = m_asks.find({ .requester = ended.requester, .incarnation = ended.requesterIncarnation, .id = ended.id });
    if (found != m_asks.end())
        finish(found);
}

void PlacementServer::onLoadReport(const InstanceLoadReport& report)
{
    auto taken = report.lastAcceptedGrants.find(m_instance);
    if (taken == report.lastAcceptedGrants.end())
        return;
    for (auto& [key, ask] : m_asks) {
        bool shows = key.requester == report.instance && ask.answer.kind == PlacementStatus::Granted && ask.answer.grantNumber <= taken->second;
        if (!shows || ask.shown)
            continue;
        ask.shown = true;
        m_dispatcher.onReportedByPeer(ask.work);
    }
}

void PlacementServer::onTick(TimePoint now)
{
    for (auto ask = m_asks.begin(); ask != m_asks.end();) {
        auto current = ask++;
        bool waiting = current->second.answer.kind == PlacementStatus::Waiting;
        auto limit = waiting ? Clock::duration(waitingSilence) : Clock::duration(longestWork);
        if (current->second.lastHeard + limit < now)
            finish(current);
    }
}

}
