#include "permits/permitclient.h"

#include "common/overloaded.h"

#include "common/log.h"
#include "net/eventloop.h"

namespace guavaspan {

namespace {

    constexpr auto renewalInterval = Seconds(5);
    constexpr auto resubmitInterval = Seconds(2);
    constexpr auto decisionCheckInterval = Milliseconds(100);
    // An owner that has not decided this long after the request's maxWait is treated as unavailable.
    constexpr auto graceBeyondMaxWait = Milliseconds(500);

    Error errorFrom(const Refusal& refusal)
    {
        auto detail = refusal.code == ErrorCode::DeadlineExceeded ? "no engine had capacity in time" : "the pool is overloaded";
        return Error { .code = refusal.code, .step = Step::Admit, .detail = detail, .outcome = Outcome::NotRun };
    }

}

PermitClient::PermitClient(asio::io_context& context, PoolSchedulerHost& schedulerHost, IPermitTransport& transport, std::uint64_t instanceId)
    : m_context(context)
    , m_schedulerHost(schedulerHost)
    , m_transport(transport)
    , m_instanceId(instanceId)
{
}

PermitId PermitClient::nextId()
{
    return { .instance = m_instanceId, .sequence = ++m_sequence };
}

void PermitClient::submitLocally(PermitRecord& permit)
{
    permit.owner = {};
    auto handler = [this](const SchedulingAction& action) { onDecision(action); };
    if (permit.engine.empty())
        m_schedulerHost.request(permit.model, permit.request, handler);
    else
        m_schedulerHost.adopt(permit.model, permit.request, permit.engine, permit.producedTokens, handler);
}

/// If the owner cannot be reached, this instance schedules the permit itself. That costs
/// only efficiency: the engines' load reports include what other instances placed.
void PermitClient::submit(PermitRecord& permit)
{
    permit.submittedAt = Clock::now();
    permit.owner = m_transport.ownerOf(permit.model);
    if (permit.owner.isLocal()) {
        submitLocally(permit);
        return;
    }
    PermitMessage message = PermitSubmit { .model = permit.model, .request = permit.request };
    if (!permit.engine.empty())
        message = PermitAdopt { .model = permit.model, .request = permit.request, .engine = permit.engine, .producedTokens = permit.producedTokens };
    if (!m_transport.send(permit.owner.name, message))
        submitLocally(permit);
}

void PermitClient::sendToOwner(const PermitRecord& permit, const PermitMessage& message)
{
    if (permit.owner.isLocal())
        handleMessage(message);
    else
        m_transport.send(permit.owner.name, message);
}

/// Handles the messages that need no reply; onMessage() handles the others.
void PermitClient::handleMessage(const PermitMessage& message)
{
    std::visit(Overloaded {
                   [](const PermitSubmit&) {},
                   [](const PermitAdopt&) {},
                   [this](const PermitWithdraw& withdrawal) { m_schedulerHost.withdraw(withdrawal.model, withdrawal.id); },
                   [this](const PermitProgress& report) { m_schedulerHost.progress(report.model, report.id, report.producedTokens, report.preempted); },
                   [this](const PermitFinish& completion) { m_schedulerHost.finish(completion.model, completion.id, completion.producedTokens, completion.outcome); },
                   [this](const PermitDecision& decision) { onDecision(decision.action); },
                   [](const PermitRenewal&) {},
                   [this](const PermitsUnknown& unknown) { resubmit(unknown.sequences); },
               },
        message);
}

void PermitClient::onMessage(const std::string& from, const PermitMessage& message)
{
    auto sendDecision = [this, from](const SchedulingAction& action) { m_transport.send(from, PermitDecision { .action = action }); };
    if (auto* submission = std::get_if<PermitSubmit>(&message)) {
        m_schedulerHost.request(submission->model, submission->request, sendDecision);
        return;
    }
    if (auto* adoption = std::get_if<PermitAdopt>(&message)) {
        m_schedulerHost.adopt(adoption->model, adoption->request, adoption->engine, adoption->producedTokens, sendDecision);
        return;
    }
    if (auto* renewal = std::get_if<PermitRenewal>(&message)) {
        auto unknown = m_schedulerHost.renew(*renewal);
        if (!unknown.empty())
            m_transport.send(from, PermitsUnknown { .sequences = std::move(unknown) });
        return;
    }
    handleMessage(message);
}

void PermitClient::start()
{
    asio::co_spawn(m_context, renewalLoop(), reportFailedHandler);
}

Awaitable<> PermitClient::renewalLoop()
{
    while (true) {
        co_await sleepFor(renewalInterval);
        renewPermits();
    }
}

/// Repairs the effects of lost messages and restarted owners: permits that the
/// owner does not have on record are resubmitted.
void PermitClient::renewPermits()
{
    std::map<std::pair<std::string, std::string>, PermitRenewal> renewalsByOwner;
    for (const auto& [id, permit] : m_permits) {
        auto& renewal = renewalsByOwner[{ permit->owner.name, permit->model }];
        renewal.model = permit->model;
        renewal.instance = m_instanceId;
        renewal.permits.emplace_back(id.sequence, permit->producedTokens);
    }
    for (const auto& [ownerAndModel, renewal] : renewalsByOwner) {
        if (ownerAndModel.first.empty())
            resubmit(m_schedulerHost.renew(renewal));
        else
            m_transport.send(ownerAndModel.first, renewal);
    }
}

void PermitClient::resubmit(const std::vector<std::uint64_t>& sequences)
{
    for (auto sequence : sequences) {
        auto found = m_permits.find({ .instance = m_instanceId, .sequence = sequence });
        if (found != m_permits.end())
            submit(*found->second);
    }
}

Awaitable<bool> PermitClient::waitForDecision(std::shared_ptr<PermitRecord> permit, std::function<bool()> cancelled)
{
    auto decisionDeadline = Clock::now() + permit->request.maxWait + graceBeyondMaxWait;
    while (!permit->decision) {
        permit->decisionTimer->expires_after(decisionCheckInterval);
        co_await permit->decisionTimer->async_wait(asTuple);
        if (permit->decision)
            break;
        if (cancelled() || Clock::now() > decisionDeadline)
            co_return false;
        if (permit->submittedAt + resubmitInterval < Clock::now())
            submit(*permit);
    }
    co_return true;
}

Awaitable<Result<Grant>> PermitClient::acquire(std::string model, PermitRequest request, PriorityHandler setPriority, std::function<bool()> cancelled)
{
    auto id = request.id;
    auto permit = std::make_shared<PermitRecord>();
    permit->model = std::move(model);
    permit->request = std::move(request);
    permit->setPriority = std::move(setPriority);
    permit->decisionTimer = std::make_unique<asio::steady_timer>(m_context);
    m_permits[id] = permit;
    submit(*permit);
    bool decided = co_await waitForDecision(permit, cancelled);
    if (!decided) {
        sendToOwner(*permit, PermitWithdraw { .model = permit->model, .id = id });
        removePermit(id);
        auto code = cancelled() ? ErrorCode::Cancelled : ErrorCode::Unavailable;
        co_return Error { .code = code, .step = Step::Admit, .peer = permit->owner.name, .detail = "the pool owner sent no decision", .outcome = Outcome::NotRun };
    }
    if (auto* refusal = std::get_if<Refusal>(&*permit->decision)) {
        removePermit(id);
        co_return errorFrom(*refusal);
    }
    co_return std::get<Grant>(*permit->decision);
}

void PermitClient::removePermit(const PermitId& id)
{
    m_permits.erase(id);
}

void PermitClient::progress(const PermitId& id, int producedTokens, bool preempted)
{
    auto found = m_permits.find(id);
    if (found == m_permits.end())
        return;
    auto& permit = *found->second;
    permit.producedTokens = producedTokens;
    bool sendNow = preempted || permit.preempted || permit.owner.isLocal();
    permit.preempted = preempted;
    if (!sendNow)
        return;
    sendToOwner(permit, PermitProgress { .model = permit.model, .id = id, .producedTokens = producedTokens, .preempted = preempted });
}

void PermitClient::finish(const PermitId& id, int producedTokens, GenerationOutcome outcome)
{
    auto found = m_permits.find(id);
    if (found == m_permits.end())
        return;
    auto permit = found->second;
    removePermit(id);
    sendToOwner(*permit, PermitFinish { .model = permit->model, .id = id, .producedTokens = producedTokens, .outcome = outcome });
}

void PermitClient::onDecision(const SchedulingAction& action)
{
    auto id = std::visit([](const auto& decision) { return decision.id; }, action);
    auto found = m_permits.find(id);
    if (found == m_permits.end())
        return;
    auto permit = found->second;
    if (auto* change = std::get_if<SetPriority>(&action)) {
        permit->setPriority(change->priority);
        return;
    }
    // A second decision comes from a previous owner that received the request before ownership changed.
    if (permit->decision)
        return;
    if (auto* grant = std::get_if<Grant>(&action))
        permit->engine = grant->engine;
    permit->decision = action;
    permit->decisionTimer->cancel();
}

void PermitClient::onOwnersChanged()
{
    std::vector<std::shared_ptr<PermitRecord>> reassigned;
    for (const auto& [id, permit] : m_permits) {
        if (m_transport.ownerOf(permit->model) != permit->owner)
            reassigned.push_back(permit);
    }
    for (const auto& permit : reassigned) {
        auto id = permit->request.id;
        // If this instance was the owner, it must stop counting what the new owner schedules.
        if (permit->owner.isLocal() && permit->decision)
            m_schedulerHost.finish(permit->model, id, permit->producedTokens, GenerationOutcome::Cancelled);
        if (permit->owner.isLocal() && !permit->decision)
            m_schedulerHost.withdraw(permit->model, id);
        submit(*permit);
    }
}

}
