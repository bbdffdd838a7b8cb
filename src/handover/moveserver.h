#pragma once

#include "dispatch/dispatcher.h"
#include "handover/movescheduler.h"
#include "placement/fleetlink.h"
#include "routing/activeconfiguration.h"

namespace guavaspan {

/// Schedules moves between the engines of the pools that this instance owns, for this instance and its peers.
class MoveServer {
public:
    MoveServer(std::string instance, Dispatcher&, ActiveConfiguration&, FleetLink&);

    void onQuery(const MoveQuery&);
    void onRelease(const MoveRelease&);
    void onTick(TimePoint now);

    /// Sets the function that receives the responses to this instance's queries; peers receive theirs over the link.
    void setLocalResponseListener(std::function<void(const MoveResponse&)> listener) { m_localResponseListener = std::move(listener); }

private:
    struct TrackedMove {
        MoveQuery query;
        WorkId reservation = 0;
    };

    static std::string keyOf(const std::string& requester, std::int64_t requesterIncarnation, WorkId);
    std::optional<std::string> chooseDestination(const PendingMove&, const std::set<std::string>& excluded);
    std::optional<EngineTraits> engineOf(const std::string& service) const;
    void startMoves(TimePoint now);
    /// Tells the dispatcher how much room the queued moves need.
    void reserveRoom(TimePoint now);
    /// An empty destination means that the move is queued.
    void respond(const MoveQuery&, const std::string& destination);
    void release(const std::string& key);

    std::string m_instance;
    Dispatcher& m_dispatcher;
    ActiveConfiguration& m_configuration;
    FleetLink& m_link;
    MoveScheduler m_scheduler;
    std::map<std::string, TrackedMove> m_trackedMoves;
    /// Services that had queued moves at the last count.
    std::set<std::string> m_movingServices;
    std::function<void(const MoveResponse&)> m_localResponseListener;
};

}
