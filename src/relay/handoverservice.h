#pragma once

#include "handover/itargetoperations.h"
#include "handover/moveserver.h"
#include "placement/placementclient.h"
#include "relay/livestream.h"

namespace guavaspan {

/// Receives the result of each handover step.
class IHandoverObserver {
public:
    virtual ~IHandoverObserver() = default;
    virtual void onHandoverStep(HandoverPhase, HandoverResult) = 0;
};

/// Parts of the instance that HandoverService uses.
struct HandoverContext {
    asio::io_context& io;
    std::string instance;
    PlacementClient& placement;
    MoveServer& moveServer;
    FleetLink& link;
    LiveStreams& streams;
    ActiveConfiguration& configuration;
    TargetDirectory& directory;
    TargetLimits& targetLimits;
    ITargetOperations& operations;
    IHandoverObserver& observer;
};

/// Moves this instance's generations off engines that shut down.
class HandoverService {
public:
    explicit HandoverService(HandoverContext);

    void onTargetUnavailable(const TargetUnavailable&);
    void onMoveResponse(const MoveResponse&);

private:
    struct Move;
    struct PendingGrant;

    Awaitable<> moveAway(Move);
    Awaitable<std::optional<std::string>> acquireGrant(const Move&, TimePoint deadline);
    void releaseGrant(const Move&, const std::string& owner, bool destinationFull);
    void send(const std::string& owner, const MoveQuery&);
    Awaitable<bool> moveTo(Move&, const std::string& destinationId);
    Awaitable<bool> copyAndStop(Move&, const std::string& destinationId, std::string& unusedCopy);
    Awaitable<CopyAnswer> callSource(const Move&, HandoverPhase, const TargetEntry& destination);
    Awaitable<> interruptIfSilent(std::shared_ptr<LiveStream>);

    HandoverContext m_context;
    std::map<WorkId, std::shared_ptr<PendingGrant>> m_pendingGrants;
};

}
