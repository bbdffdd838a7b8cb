#pragma once

#include "dispatch/dispatcher.h"
#include "handover/moveturns.h"
#include "placement/fleetlink.h"
#include "routing/configurationgate.h"

namespace guavaspan {

/// Gives turns for moves to this instance and to peers whose pools it owns.
class MoveServer {
public:
    MoveServer(std::string instance, Dispatcher&, ConfigurationGate&, FleetLink&);

    void onAsk(const MoveQuery&);
    void onEnded(const MoveRelease&);
    void onTick(TimePoint now);

    /// Answers to this instance's own asks go here.
    void onOwnAnswer(std::function<void(const MoveResponse&)> receiver) { m_ownAnswer = std::move(receiver); }

private:
    struct Known {
        MoveQuery ask;
        WorkId reservation = 0;
    };

    static std::string keyOf(const std::string& requester, std::int64_t life, WorkId);
    std::optional<std::string> chooseDestination(const MoveRequest&, const std::set<std::string>& excluded);
    void pump(TimePoint now);
    /// An empty destination says that the asker waits.
    void answer(const MoveQuery&, const std::string& destination);
    void finish(const std::string& key);

    std::string m_instance;
    Dispatcher& m_dispatcher;
    ConfigurationGate& m_gate;
    FleetLink& m_link;
    MoveTurns m_turns;
    std::map<std::string, Known> m_known;
    std::function<void(const MoveResponse&)> m_ownAnswer;
};

}
