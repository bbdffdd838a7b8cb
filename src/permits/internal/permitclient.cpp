#include "permits/permitclient.h"

#include "common/overloaded.h"

#include "common/log.h"

namespace guavaspan {

namespace {

    constexpr auto heldInterval = Seconds(5);
    constexpr auto askAgainAfter = Seconds(2);
    constexpr auto answerCheckInterval = Milliseconds(100);
    // Beyond the longest wait an owner that is silent is taken to be gone.
    constexpr auto graceBeyondMaxWait = Milliseconds(500);

    Error refused(const Refusal& refusal)
    {
        auto detail = refusal.code == ErrorCode::DeadlineExceeded ? "no engine had room in time" : "the pool is overloaded";
        return Error { .code = refusal.code, .step = Step::Admit, .detail = detail, .outcome = Outcome::NotRun };
    }

}

PermitClient::PermitClient(asio::io_context& context, PoolSchedulerHost& host, IPermitTransport& transport, std::uint64_t instanceId)
    : m_context(context)
    , m_schedulerHost(host)
    , m_transport(transport)
    , m_instanceId(instanceId)
{
}

PermitId PermitClient::nextId()
{
    return { .instance = m_instanceId, .sequence = ++m_sequence };
}

void PermitClient::submitLocally(Holding& holding)
{
    holding.owner = {};
    auto sink = [this](const SchedulingAction& action) { onDecision(action); };
    if (holding.engine.empty())
        m_schedulerHost.request(holding.model, holding.request, sink);
    else
        m_schedulerHost.adopt(holding.model, holding.request, holding.engine, holding.produced, sink);
}

/// An owner that cannot be reached costs efficiency only: this instance decides
/// alone, and the engines' reports show it what the others placed.
void PermitClient::submit(Holding& holding)
{
    holding.askedAt = Clock::now();
    holding.owner = m_transport.ownerOf(holding.model);
    if (holding.owner.isLocal()) {
        submitLocally(holding);
        return;
    }
    PermitMessage message = PermitSubmit { .model = holding.model, .request = holding.request };
    if (!holding.engine.empty())
        message = PermitAdopt { .model = holding.model, .request = holding.request, .engine = holding.engine, .produced = holding.produced };
    if (!m_transport.send(holding.owner.name, message))
        submitLocally(holding);
}

void PermitClient::tell(const Holding& holding, const PermitMessage& message)
{
    if (holding.owner.isLocal())
        handleLocally(message);
    else
        m_transport.send(holding.owner.name, message);
}

void PermitClient::handleLocally(const PermitMessage& message)
{
    std::visit(Overloaded {
                   [](const PermitSubmit&) {},
                   [](const PermitAdopt&) {},
                   [this](const PermitWithdraw& each) { m_schedulerHost.withdraw(each.model, each.id); },
                   [this](const PermitProgress& each) { m_schedulerHost.progress(each.model, each.id, each.produced, each.preempted); },
                   [this](const PermitFinish& each) { m_schedulerHost.finish(each.model, each.id, each.produced, each.kind); },
                   [this](const PermitDecision& each) { onDecision(each.action); },
                   [](const PermitRenewal&) {},
                   [this](const PermitsUnknown& each) { tellAgain(each.sequences); },
               },
        message);
}

void PermitClient::onMessage(const std::string& from, const PermitMessage& message)
{
    auto sink = [this, from](const SchedulingAction& action) { m_transport.send(from, PermitDecision { .action = action }); };
    if (auto* ask = std::get_if<PermitSubmit>(&message)) {
        m_schedulerHost.request(ask->model, ask->request, sink);
        return;
    }
    if (auto* adopt = std::get_if<PermitAdopt>(&message)) {
        m_schedulerHost.adopt(adopt->model, adopt->request, adopt->engine, adopt->produced, sink);
        return;
    }
    if (auto* named = std::get_if<PermitRenewal>(&message)) {
        auto unknown = m_schedulerHost.held(*named);
        if (!unknown.empty())
            m_transport.send(from, PermitsUnknown { .sequences = std::move(unknown) });
        return;
    }
    handleLocally(message);
}

void PermitClient::start()
{
    asio::co_spawn(m_context, heldLoop(), asio::detached);
}

Awaitable<> PermitClient::heldLoop()
{
    while (true) {
        co_await sleepFor(heldInterval);
        nameHeld();
    }
}

/// Lost messages and lost owners both show here: what the owner does not know is told again.
void PermitClient::nameHeld()
{
    std::map<std::pair<std::string, std::string>, PermitRenewal> byOwner;
    for (const auto& [id, holding] : m_holdings) {
        auto& message = byOwner[{ holding->owner.name, holding->model }];
        message.model = holding->model;
        message.instance = m_instanceId;
        message.held.emplace_back(id.sequence, holding->produced);
    }
    for (const auto& [key, message] : byOwner) {
        if (key.first.empty())
            tellAgain(m_schedulerHost.held(message));
        else
            m_transport.send(key.first, message);
    }
}

void PermitClient::tellAgain(const std::vector<std::uint64_t>& sequences)
{
    for (auto sequence : sequences) {
        auto found = m_holdings.find({ .instance = m_instanceId, .sequence = sequence });
        if (found != m_holdings.end())
            submit(*found->second);
    }
}

Awaitable<bool> PermitClient::waitForAnswer(std::shared_ptr<Holding> holding, std::function<bool()> cancelled)
{
    auto lastMoment = Clock::now() + holding->request.maxWait + graceBeyondMaxWait;
    while (!holding->answer) {
        holding->news->expires_after(answerCheckInterval);
        co_await holding->news->async_wait(asTuple);
        if (holding->answer)
            break;
        if (cancelled() || Clock::now() > lastMoment)
            co_return false;
        if (holding->askedAt + askAgainAfter < Clock::now())
            submit(*holding);
    }
    co_return true;
}

Awaitable<Result<Grant>> PermitClient::acquire(std::string model, PermitRequest request, PriorityHandler protect, std::function<bool()> cancelled)
{
    auto id = request.id;
    auto holding = std::make_shared<Holding>();
    holding->model = std::move(model);
    holding->request = std::move(request);
    holding->protect = std::move(protect);
    holding->news = std::make_unique<asio::steady_timer>(m_context);
    m_holdings[id] = holding;
    submit(*holding);
    bool answered = co_await waitForAnswer(holding, cancelled);
    if (!answered) {
        tell(*holding, PermitWithdraw { .model = holding->model, .id = id });
        forget(id);
        auto code = cancelled() ? ErrorCode::Cancelled : ErrorCode::Unavailable;
        co_return Error { .code = code, .step = Step::Admit, .peer = holding->owner.name, .detail = "no permit was given", .outcome = Outcome::NotRun };
    }
    if (auto* refusal = std::get_if<Refusal>(&*holding->answer)) {
        forget(id);
        co_return refused(*refusal);
    }
    co_return std::get<Grant>(*holding->answer);
}

void PermitClient::forget(const PermitId& id)
{
    m_holdings.erase(id);
}

void PermitClient::progress(const PermitId& id, int produced, bool preempted)
{
    auto found = m_holdings.find(id);
    if (found == m_holdings.end())
        return;
    auto& holding = *found->second;
    holding.produced = produced;
    bool tellNow = preempted || holding.displaced || holding.owner.isLocal();
    holding.displaced = preempted;
    if (!tellNow)
        return;
    tell(holding, PermitProgress { .model = holding.model, .id = id, .produced = produced, .preempted = preempted });
}

void PermitClient::finish(const PermitId& id, int produced, GenerationOutcome kind)
{
    auto found = m_holdings.find(id);
    if (found == m_holdings.end())
        return;
    auto holding = found->second;
    forget(id);
    tell(*holding, PermitFinish { .model = holding->model, .id = id, .produced = produced, .kind = kind });
}

void PermitClient::onDecision(const SchedulingAction& action)
{
    auto id = std::visit([](const auto& each) { return each.id; }, action);
    auto found = m_holdings.find(id);
    if (found == m_holdings.end())
        return;
    auto holding = found->second;
    if (auto* protect = std::get_if<SetPriority>(&action)) {
        holding->protect(protect->priority);
        return;
    }
    // A second grant comes from an owner that was asked before ownership moved.
    if (holding->answer)
        return;
    if (auto* grant = std::get_if<Grant>(&action))
        holding->engine = grant->engine;
    holding->answer = action;
    holding->news->cancel();
}

void PermitClient::onOwnersChanged()
{
    std::vector<std::shared_ptr<Holding>> moved;
    for (const auto& [id, holding] : m_holdings) {
        if (m_transport.ownerOf(holding->model) != holding->owner)
            moved.push_back(holding);
    }
    for (const auto& holding : moved) {
        auto id = holding->request.id;
        // The old owner, if it lives, must not count what it no longer decides.
        if (holding->owner.isLocal() && holding->answer)
            m_schedulerHost.finish(holding->model, id, holding->produced, GenerationOutcome::Cancelled);
        if (holding->owner.isLocal() && !holding->answer)
            m_schedulerHost.withdraw(holding->model, id);
        submit(*holding);
    }
}

}
