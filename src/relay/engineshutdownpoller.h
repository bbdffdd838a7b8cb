#pragma once

#include "handover/itargetoperations.h"
#include "handover/shutdownpollschedule.h"
#include "placement/fleetlink.h"
#include "relay/livestream.h"
#include "targets/targetdirectory.h"

#include <functional>

namespace guavaspan {

/// Parts of the instance that EngineShutdownPoller uses.
struct EngineShutdownPollerContext {
    asio::io_context& io;
    LiveStreams& streams;
    TargetDirectory& directory;
    ITargetOperations& operations;
    FleetLink& link;
    std::function<StoreView()> storeView;
};

/// Polls engines for a pending shutdown while the view of the shared store may be outdated, and notifies peers.
class EngineShutdownPoller {
public:
    explicit EngineShutdownPoller(EngineShutdownPollerContext);

    /// Polls the engines that are due.
    void onTick(TimePoint now);

    /// Handles an answer in which the engine states that it is shutting down.
    void onDrainingAnswer(const TargetEntry&);

    /// Handles a peer's notice that an engine shuts down.
    void onPeerNotice(const ShutdownNotice&, TimePoint now);

private:
    Awaitable<> poll(TargetEntry);
    void announce(const TargetEntry&, const std::string& source, std::optional<Milliseconds> timeToShutdown);

    EngineShutdownPollerContext m_context;
    ShutdownPollSchedule m_pollSchedule;
};

}
