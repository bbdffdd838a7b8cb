#pragma once

#include "permits/ipermitservice.h"
#include "permits/ipermittransport.h"
#include "permits/poolschedulerhost.h"

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
    /// A permit request of this instance, waiting or granted.
    struct PermitRecord {
        std::string model;
        PermitRequest request;
        PriorityHandler setPriority;
        PoolOwner owner;
        std::string engine;
        int produced = 0;
        bool preempted = false;
        TimePoint submittedAt;
        std::optional<SchedulingAction> decision;
        std::unique_ptr<asio::steady_timer> decisionTimer;
    };

    void submit(PermitRecord&);
    void submitLocally(PermitRecord&);
    void sendToOwner(const PermitRecord&, const PermitMessage&);
    void handleMessage(const PermitMessage&);
    void removePermit(const PermitId&);
    void resubmit(const std::vector<std::uint64_t>& sequences);
    Awaitable<> renewalLoop();
    void renewPermits();
    Awaitable<bool> waitForDecision(std::shared_ptr<PermitRecord>, std::function<bool()> cancelled);

    asio::io_context& m_context;
    PoolSchedulerHost& m_schedulerHost;
    IPermitTransport& m_transport;
    std::uint64_t m_instanceId;
    std::uint64_t m_sequence = 0;
    std::map<PermitId, std::shared_ptr<PermitRecord>> m_permits;
};

}
