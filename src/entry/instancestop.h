#pragma once

#include "common/stopsignalreceiver.h"
#include "fleet/registration.h"
#include "net/httpserver.h"
#include "relay/activerequests.h"
#include "usage/usagecustodian.h"
#include "usage/usagewriter.h"

#include <boost/asio/signal_set.hpp>

namespace guavaspan {

/// Parts of the instance that its stop uses.
struct InstanceStopContext {
    asio::io_context& io;
    RelayContext& relayContext;
    HttpServer& callerServer;
    Registration& registration;
    UsageLedger& usage;
    UsageWriter& usageWriter;
    UsageCustodian& usageCustodian;
    /// Reads the settings again, which may call setLimit().
    std::function<void()> reloadSettings;
};

/// Stops the instance when a stop signal arrives.
class InstanceStop {
public:
    InstanceStop(InstanceStopContext, Milliseconds limit);

    /// Handles stop signals until the instance stops.
    Awaitable<> run();

    /// Begins the stop if a signal has arrived that the event loop has not handled yet.
    void takeSignal() { takeSignal(std::nullopt); }

    /// Called at intervals while the process runs.
    void onRunning() { m_receiver.onRunning(); }

    /// Time from the stop signal until the host kills the process. During a stop it can only end sooner.
    void setLimit(Milliseconds);

    /// Records that peers hand over during the end of a stop would end with this process.
    bool takesUsageRecords() const { return m_takesUsageRecords; }

private:
    void takeSignal(std::optional<int> handledSignal);
    void begin(const StopSignal&);
    Awaitable<> drainAndStop();
    Awaitable<bool> handOverUsageToPeers();
    void cutRequests();
    void logCutConnections();

    InstanceStopContext m_context;
    Milliseconds m_limit;
    asio::signal_set m_signals;
    StopSignalReceiver m_receiver;
    bool m_takesUsageRecords = true;
};

}
