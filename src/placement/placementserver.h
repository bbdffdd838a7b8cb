#pragma once

#include "dispatch/dispatcher.h"
#include "placement/fleetlink.h"
#include "routing/activeconfiguration.h"

#include <map>

namespace guavaspan {

/// Decides for peers where their requests go, in one line for the whole fleet.
class PlacementServer {
public:
    PlacementServer(asio::io_context&, std::string instance, Dispatcher&, ActiveConfiguration&, FleetLink&);

    void onAsk(const PlacementQuery&);
    void onEnded(const PlacementRelease&);

    /// A peer reports its loads; grants up to these numbers are among them.
    void onLoadReport(const InstanceLoadReport&);

    /// Forgets asks whose askers fell silent.
    void onTick(TimePoint now);

    std::size_t asks() const { return m_asks.size(); }

private:
    struct AskKey {
        std::string requester;
        std::int64_t incarnation = 0;
        WorkId id = 0;

        friend auto operator<=>(const AskKey&, const AskKey&) = default;
    };
    struct Ask {
        WorkId work = 0;
        PlacementResponse answer;
        TimePoint lastHeard;
        bool shown = false;
    };

    Awaitable<> decide(AskKey, PlacementRequest);
    void finish(std::map<AskKey, Ask>::iterator);

    asio::io_context& m_io;
    std::string m_instance;
    Dispatcher& m_dispatcher;
    ActiveConfiguration& m_gate;
    FleetLink& m_link;
    std::map<AskKey, Ask> m_asks;
    std::map<std::string, std::int64_t> m_grantNumbers;
};

}
