#pragma once

#include "common/stopsignalreceiver.h"
#include "gateway/gateway.h"
#include "instance/iinstancelist.h"
#include "peers/peernetwork.h"
#include "permits/permitclient.h"
#include "usage/usagewriter.h"

#include <boost/asio/signal_set.hpp>

namespace guavaspan {

/// One running instance: creates its components and connects them.
class Instance {
public:
    explicit Instance(Settings);

    /// Runs until a stop signal arrives; returns the process's exit code.
    int run();

private:
    Awaitable<> loadConfigurationLoop();
    Awaitable<> instanceListLoop();
    Awaitable<> handleStopSignals();
    void takeStopSignal(std::optional<int> handledSignal = std::nullopt);
    void beginStop(const StopSignal&);
    Awaitable<> drainAndStop(StopSignal);
    Awaitable<> metricsLoop();
    void onConfiguration(const Configuration&);
    std::string status() const;

    Settings m_settings;
    asio::io_context m_io { 1 };
    Random m_random;
    std::string m_incarnation;
    Metrics m_metrics;
    DecisionLog m_decisionLog;
    SpanWriter m_spanWriter;
    HandleSealer m_handleSealer;
    std::shared_ptr<IKeyValueStore> m_keyValue;
    std::unique_ptr<IInstanceList> m_instanceList;
    ConfigurationHolder m_configuration;
    ConfigurationStore m_configurationStore;
    EngineDirectory m_engines;
    PoolSchedulerHost m_schedulerHost;
    PeerNetwork m_peerNetwork;
    PermitClient m_permits;
    QuarantineService m_quarantine;
    ClaimCommitter m_claims;
    UsageLedger m_usage;
    UsageWriter m_usageWriter;
    GatewayContext m_gatewayContext;
    Gateway m_gateway;
    HttpServer m_server;
    asio::signal_set m_signals;
    StopSignalReceiver m_stopSignalReceiver;
    TimePoint m_configurationConfirmedAt;
};

}
