#pragma once

#include "dispatch/dispatcher.h"
#include "handover/moveturns.h"
#include "placement/fleetlink.h"
#include "routing/activeconfiguration.h"

namespace guavaspan {

/// Gives turns for moves to this instance and to peers whose pools it owns.
class MoveServer {
public:
    MoveServer(std::string instance, Dispatcher&, ActiveConfiguration&, FleetLink&);

    void onAsk(const MoveAsk&);
    void onEnded(const MoveEnded&);
    void onTick(TimePoint now);

    /// Answers to this instance's own asks go here.
    void onOwnAnswer(std::function<void(const MoveAnswer&)> receiver) { m_ownAnswer = std::move(receiver); }

private:
    struct Known {
        MoveAsk ask;
        WorkId reservation = 0;
    };

    static std::string keyOf(const std::string& asker, std::int64_t life, WorkId);
    std::optional<std::string> chooseDestination(const MoveRequest&, const std::set<std::string>& excluded);
    void pump(TimePoint now);
    /// An empty destination says that the asker waits.
    void answer(const MoveAsk&, const std::string& destination);
    void finish(const std::string& key);

    std::string m_instance;
    Dispatcher& m_dispatcher;
    ActiveConfiguration& m_gate;
    FleetLink& m_link;
    MoveTurns m_turns;
    std::map<std::string, Known> m_known;
    std::function<void(const MoveAnswer&)> m_ownAnswer;
};

}
