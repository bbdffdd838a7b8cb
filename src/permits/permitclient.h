#pragma once

#include "permits/poolschedulerhost.h"
#include "permits/ipermitservice.h"
#include "permits/ipermittransport.h"

namespace guavaspan {

/// Obtains permits from whichever instance owns the model's pool, and tells a
/// new owner about everything that still waits or runs.
class PermitClient : public IPermitService {
public:
    PermitClient(asio::io_context&, PoolSchedulerHost&, IPermitTransport&, std::uint64_t instanceId);

    /// Starts to name held permits to their owners.
    void start();

    Awaitable<Result<Grant>> acquire(std::string model, PermitRequest, PriorityHandler, std::function<bool()> cancelled) override;
    void progress(const PermitId&, int produced, bool preempted) override;
    void finish(const PermitId&, int produced, GenerationOutcome) override;
    PermitId nextId() override;

    /// An owner's answer to one of our requests.
    void onDecision(const SchedulingAction&);

    /// A message from another instance to this one as owner.
    void onMessage(const std::string& from, const PermitMessage&);

    /// Membership changed: what an owner held that is no longer the owner is told to the new one.
    void onOwnersChanged();

private:
    struct Holding {
        std::string model;
        PermitRequest request;
        PriorityHandler protect;
        PoolOwner owner;
        std::string engine;
        int produced = 0;
        bool displaced = false;
        TimePoint askedAt;
        std::optional<SchedulingAction> answer;
        std::unique_ptr<asio::steady_timer> news;
    };

    void submit(Holding&);
    void submitLocally(Holding&);
    void tell(const Holding&, const PermitMessage&);
    void handleLocally(const PermitMessage&);
    void forget(const PermitId&);
    void tellAgain(const std::vector<std::uint64_t>& sequences);
    Awaitable<> heldLoop();
    void nameHeld();
    Awaitable<bool> waitForAnswer(std::shared_ptr<Holding>, std::function<bool()> cancelled);

    asio::io_context& m_context;
    PoolSchedulerHost& m_schedulerHost;
    IPermitTransport& m_transport;
    std::uint64_t m_instanceId;
    std::uint64_t m_sequence = 0;
    std::map<PermitId, std::shared_ptr<Holding>> m_holdings;
};

}
