#pragma once

#include "entry/configurationcatchup.h"
#include "entry/entrysettings.h"
#include "entry/instancestop.h"
#include "entry/storechangehandler.h"
#include "entry/storerecovery.h"
#include "fleet/fleetcensus.h"
#include "fleet/peerfeed.h"
#include "fleet/registration.h"
#include "fleet/storefollower.h"
#include "net/httpserver.h"
#include "placement/placementclient.h"
#include "placement/placementserver.h"
#include "placement/promptguardlink.h"
#include "placement/summaryserver.h"
#include "placement/trialclient.h"
#include "quarantine/crashrecordwriter.h"
#include "relay/activerequests.h"
#include "relay/engineshutdownpoller.h"
#include "relay/handoverservice.h"
#include "relay/requesthandler.h"
#include "relay/targetpathprober.h"

#include <boost/asio/signal_set.hpp>
#include <functional>

namespace guavaspan {

/// Platform services and formats that an entry instance uses.
struct EntryPlatform {
    IKeyValueStore& keyValue;
    IWatchableStore& store;
    const IWireFormat& wireFormat;
    ITargetOperations& operations;
    StoreSchema storeSchema;
    /// Reads the settings again; returns nothing if they are invalid.
    std::function<std::optional<EntrySettings>()> reloadSettings;
};

/// An instance of the entry service, which relays callers' requests to targets.
class EntryInstance {
public:
    EntryInstance(EntrySettings, EntryPlatform);

    /// Serves requests until a stop signal arrives; returns the process's exit code.
    int run();

private:
    void limitMemory();
    bool listen();
    void runTask(const char* name, std::function<Awaitable<>()> task);
    Awaitable<> serveReadiness(HttpExchange&);
    void onFleetMessage(const FleetMessage&);
    Awaitable<> reportLoop();
    void sendReport();
    Awaitable<> tickLoop();
    Awaitable<> handleCaller(HttpExchange&);
    Awaitable<> servePeer(HttpExchange&);
    Awaitable<> reloadLoop();
    void reloadSettings();
    bool ready() const;
    StoreView storeView() const;
    std::size_t countSlowTargets() const;
    void updateGauges();
    void countInstances();
    std::optional<ColdSharers> coldSharers() const;

    EntrySettings m_settings;
    EntryPlatform m_platform;
    asio::io_context m_io { 1 };
    Random m_random;
    ActiveConfiguration m_configuration;
    TargetDirectory m_directory;
    TargetLimits m_targetLimits;
    FleetView m_fleet;
    FleetCensus m_census;
    /// Instances that share the limits of cold targets.
    FleetCensus m_coldCensus;
    StoreReplica m_replica;
    StoreFollower m_follower;
    Dispatcher m_dispatcher;
    OutputEstimator m_outputEstimator;
    FleetLink m_link;
    PlacementClient m_placementClient;
    PlacementServer m_placementServer;
    SummaryServer m_summaryServer;
    LiveStreams m_liveStreams;
    RetryBudget m_retryBudget;
    CrashGuard m_crashGuard;
    PromptGuardLink m_promptGuardLink;
    PromptGuard m_promptGuard;
    TrialClient m_trialClient;
    CrashRecordWriter m_crashRecordWriter;
    UsageLedger m_usage;
    UsageWriter m_usageWriter;
    UsageCustodian m_usageCustodian;
    RelayMetrics m_metrics;
    RelayContext m_relayContext;
    MoveServer m_moveServer;
    HandoverService m_handoverService;
    EngineShutdownPoller m_shutdownPoller;
    Registration m_registration;
    StoreRecovery m_storeRecovery;
    ConfigurationCatchUp m_configurationCatchUp;
    TargetPathProber m_targetPathProber;
    RequestHandler m_requestHandler;
    PeerFeedServer m_peerFeed;
    StoreChangeHandler m_storeChanges;
    /// What callers' connections may hold; null without a stated memory. Shared with the coroutines that serve them.
    std::shared_ptr<MemoryBudget> m_memoryBudget;
    HttpServer m_callerServer;
    HttpServer m_readinessServer;
    HttpServer m_peerServer;
    InstanceStop m_stop;
    asio::signal_set m_reloadSignals;
    bool m_wasReady = false;
    std::optional<int> m_retrySharers;
};

}
