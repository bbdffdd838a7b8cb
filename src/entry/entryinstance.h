#pragma once

#include "common/stopsignalreceiver.h"
#include "entry/configurationcatchup.h"
#include "entry/entrysettings.h"
#include "entry/storerecovery.h"
#include "entry/storeschema.h"
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
    void onStoreChange(const std::string& key, const std::optional<std::string>& value);
    void onStoreEntry(const std::string& key, const std::optional<std::string>& value);
    void onEvacuationChanged(const EvacuationChanged&);
    void onCrashRecord(const StoredCrashRecord&, TimePoint now);
    void onConfiguration(const std::string& document);
    Awaitable<> serveReadiness(HttpExchange&);
    void onFleetMessage(const FleetMessage&);
    Awaitable<> reportLoop();
    void sendReport();
    Awaitable<> tickLoop();
    Awaitable<> handleCaller(HttpExchange&);
    Awaitable<> handleStopSignals();
    void takeStopSignal(std::optional<int> handledSignal = std::nullopt);
    void beginStop(const StopSignal&);
    Awaitable<> drainAndStop();
    Awaitable<bool> handOverLastUsage();
    Awaitable<> servePeer(HttpExchange&);
    void cutRequests();
    void logCutConnections();
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
    /// What callers' connections may hold; null without a stated memory. Shared with the coroutines that serve them.
    std::shared_ptr<MemoryBudget> m_memoryBudget;
    HttpServer m_callerServer;
    HttpServer m_readinessServer;
    HttpServer m_peerServer;
    asio::signal_set m_stopSignals;
    StopSignalReceiver m_stopSignalReceiver;
    asio::signal_set m_reloadSignals;
    bool m_wasReady = false;
    /// Records that peers hand over from now on would end with this process.
    bool m_takesUsageRecords = true;
    std::optional<int> m_retrySharers;
};

}
