#pragma once

#include "dispatch/dispatcher.h"
#include "handover/movescheduler.h"
#include "placement/fleetlink.h"
#include "routing/activeconfiguration.h"

namespace guavaspan {

/// Gives turns for moves to this instance and to peers whose pools it owns.
class MoveServer {
public:
    MoveServer(std::string instance, Dispatcher&, ActiveConfiguration&, FleetLink&);

    void onMoveRequest(const MoveQuery&);
    void onMoveEnded(const MoveRelease&);
    void onTick(TimePoint now);

    /// Answers to this instance's own asks go here.
    void onLocalAnswer(std::function<void(const MoveResponse&)> receiver) { m_onLocalAnswer = std::move(receiver); }

private:
    struct TrackedMove {
        MoveQuery ask;
        WorkId reservation = 0;
    };

    static std::string keyOf(const std::string& requester, std::int64_t requesterIncarnation, WorkId);
    std::optional<std::string> chooseDestination(const PendingMove&, const std::set<std::string>& excluded);
    void startMoves(TimePoint now);
    /// An empty destination says that the asker waits.
    void answer(const MoveQuery&, const std::string& destination);
    void release(const std::string& key);

    std::string m_instance;
    Dispatcher& m_dispatcher;
    ActiveConfiguration& m_gate;
    FleetLink& m_link;
    MoveScheduler m_scheduler;
    std::map<std::string, TrackedMove> m_trackedMoves;
    std::function<void(const MoveResponse&)> m_onLocalAnswer;
};

}
