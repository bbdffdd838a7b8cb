#include "placement/trialclient.h"

#include "placement/ownerquery.h"

#include <algorithm>

namespace guavaspan {

namespace {

    constexpr auto repetitionInterval = Milliseconds(300);

}

TrialClient::TrialClient(asio::io_context& io, std::string instance, FleetView& fleet, FleetLink& link)
    : m_io(io)
    , m_instance(std::move(instance))
    , m_incarnation(unixMilliseconds())
    , m_fleet(fleet)
    , m_link(link)
{
}

bool TrialClient::runsTrialOf(const std::vector<Suspect>& suspects) const
{
    return std::any_of(m_running.begin(), m_running.end(), [&](const auto& entry) { return haveCommonSuspect(entry.second.trial.suspects, suspects); });
}

Awaitable<TrialDecision> TrialClient::start(std::uint64_t number, std::string service, Trial trial, std::weak_ptr<const void> holder)
{
    if (runsTrialOf(trial.suspects))
        co_return TrialDecision::SuspectOnTrial;
    std::optional<TrialDecision> decision;
    std::string owner;
    std::set<std::string> unreachable;
    for (int tried = 0; !decision && tried < OwnerQueryLimits::maxOwnersTried; ++tried) {
        owner = m_fleet.ownerOf(service, unreachable, Clock::now());
        if (owner == m_instance)
            break;
        decision = co_await queryOwner(owner, number, trial);
        unreachable.insert(owner);
    }
    if (!decision) {
        owner = m_instance;
        decision = m_ledger.start(idOf(number), trial, Clock::now());
    }
    if (*decision == TrialDecision::Granted)
        m_running.insert_or_assign(number, RunningTrial { .service = std::move(service), .trial = std::move(trial), .owner = std::move(owner), .holder = std::move(holder), .repeatedAt = Clock::now() });
    co_return *decision;
}

Awaitable<std::optional<TrialDecision>> TrialClient::queryOwner(std::string owner, std::uint64_t number, const Trial& trial)
{
    auto pending = std::make_shared<PendingQuery>(m_io);
    m_pending.insert_or_assign(number, pending);
    for (int query = 0; query < OwnerQueryLimits::maxUnansweredQueries && !pending->decision; ++query) {
        m_link.send(owner, TrialQuery { .id = idOf(number), .trial = trial });
        pending->wakeUp.expires_after(OwnerQueryLimits::responseTimeout);
        co_await pending->wakeUp.async_wait(asTuple);
    }
    m_pending.erase(number);
    co_return pending->decision;
}

void TrialClient::end(std::uint64_t number, TrialEnd end)
{
    auto found = m_running.find(number);
    if (found == m_running.end())
        return;
    if (found->second.owner == m_instance)
        m_ledger.end(idOf(number), end, Clock::now());
    else
        m_link.send(found->second.owner, TrialRelease { .id = idOf(number), .end = end });
    m_running.erase(found);
}

void TrialClient::onQuery(const TrialQuery& query, TimePoint now)
{
    auto decision = m_ledger.start(query.id, query.trial, now);
    m_link.send(query.id.instance, TrialResponse { .number = query.id.number, .decision = decision });
}

void TrialClient::onResponse(const TrialResponse& response)
{
    auto found = m_pending.find(response.number);
    if (found == m_pending.end())
        return;
    found->second->decision = response.decision;
    found->second->wakeUp.cancel();
}

void TrialClient::onRelease(const TrialRelease& release, TimePoint now)
{
    m_ledger.end(release.id, release.end, now);
}

/// The owner may have changed; the new one learns of the trial in this way.
void TrialClient::repeat(std::uint64_t number, RunningTrial& running, TimePoint now)
{
    running.repeatedAt = now;
    running.owner = m_fleet.ownerOf(running.service, {}, now);
    if (running.owner == m_instance)
        m_ledger.start(idOf(number), running.trial, now);
    else
        m_link.send(running.owner, TrialQuery { .id = idOf(number), .trial = running.trial });
}

void TrialClient::onTick(TimePoint now)
{
    std::vector<std::uint64_t> abandoned;
    for (auto& [number, running] : m_running) {
        if (running.holder.expired())
            abandoned.push_back(number);
        else if (running.repeatedAt + repetitionInterval <= now)
            repeat(number, running, now);
    }
    for (auto number : abandoned)
        end(number, TrialEnd::Answered);
}

}
