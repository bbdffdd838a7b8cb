#pragma once

#include "permits/ipermitservice.h"
#include "permits/ipermittransport.h"
#include "permits/poolschedulerhost.h"

namespace guavaspan {

/// Obtains permits from the instance that owns the model's pool and resubmits
/// waiting and running generations when the owner changes.
class PermitClient : public IPermitService {
public:
    PermitClient(asio::io_context&, PoolSchedulerHost&, IPermitTransport&, std::uint64_t instanceId);

    /// Starts the periodic renewal of permits.
    void start();

    Awaitable<Result<Grant>> acquire(std::string model, PermitRequest, PriorityHandler, std::function<bool()> cancelled) override;
    void progress(const PermitId&, int producedTokens, bool preempted) override;
    void finish(const PermitId&, int producedTokens, GenerationOutcome) override;
    PermitId nextId() override;

    /// Handles the owner's decision about a request of this instance.
    void onDecision(const SchedulingAction&);

    /// Handles a permit message from another instance.
    void onMessage(const std::string& from, const PermitMessage&);

    /// Resubmits the permits whose pool has a new owner after a membership change.
    void onOwnersChanged();

private:
    /// A permit request of this instance, waiting or granted.
    struct PermitRecord {
        std::string model;
        PermitRequest request;
        PriorityHandler setPriority;
        PoolOwner owner;
        std::string engine;
        int producedTokens = 0;
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
