#pragma once

#include "handover/itargetoperations.h"
#include "handover/shutdownpollschedule.h"
#include "placement/fleetlink.h"
#include "relay/livestream.h"
#include "targets/targetdirectory.h"

#include <functional>

namespace guavaspan {

/// What asking engines needs of the rest of the instance.
struct EngineShutdownPollerContext {
    asio::io_context& io;
    LiveStreams& streams;
    TargetDirectory& directory;
    ITargetOperations& operations;
    FleetLink& link;
    std::function<StoreView()> storeView;
};

/// Asks engines whether they leave while the shared store cannot tell, and tells peers.
class EngineShutdownPoller {
public:
    explicit EngineShutdownPoller(EngineShutdownPollerContext);

    /// Asks whom it is time to ask.
    void onTick(TimePoint now);

    /// A peer's engine told it.
    void onPeerNotice(const ShutdownNotice&, TimePoint now);

private:
    Awaitable<> poll(TargetEntry);

    EngineShutdownPollerContext m_context;
    ShutdownPollSchedule m_pollSchedule;
};

}
