#pragma once

#include "entry/entrysettings.h"
#include "fleet/fleetcensus.h"
#include "fleet/peerfeed.h"
#include "fleet/registration.h"
#include "fleet/storefollower.h"
#include "net/httpserver.h"
#include "placement/placementclient.h"
#include "placement/placementserver.h"
#include "placement/promptguardlink.h"
#include "quarantine/crashrecordwriter.h"
#include "relay/activerequests.h"
#include "relay/engineshutdownpoller.h"
#include "relay/handoverservice.h"
#include "relay/requesthandler.h"
#include "relay/targetpathprober.h"
#include "usage/usagecustodian.h"
#include "usage/usagewriter.h"

#include <boost/asio/signal_set.hpp>
#include <functional>

namespace guavaspan {

/// Keys of the shared store and decoders of their values, as the platform defines them.
struct StoreSchema {
    std::string configurationKey;
    std::string targetPrefix;
    std::string instancePrefix;
    std::string usagePrefix;
    std::string crashPrefix;
    std::function<std::optional<RoutingConfiguration>(const std::string&)> decodeConfiguration;
    std::function<std::optional<TargetEntry>(const std::string& id, const std::string&)> decodeTarget;

    /// Compares two values of a key by the order in which they were written; empty if the values do not tell it.
    std::optional<std::strong_ordering> compareWriteOrder(const std::string& key, const std::string& left, const std::string& right) const;
};

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
    bool listen();
    /// Replaces the configuration of the listing if a peer has a newer one.
    Awaitable<> addNewerConfiguration(StoreListing&);
    /// The peer's configuration document, if the peer can be asked and has one.
    Awaitable<std::optional<std::string>> fetchConfigurationOf(InstanceRecord peer, Milliseconds timeout);
    void onPeerVersion(const InstanceLoadReport&);
    Awaitable<> takeConfigurationOf(InstanceRecord peer);
    void onStoreRestored(const StoreRestored&);
    /// Writes again what the store may have lost of this instance. The position, from 0 to 1, is its place among all instances.
    Awaitable<> writeRecordsAgain(double position);
    void onStoreEntry(const std::string& key, const std::optional<std::string>& value);
    void onCrashRecord(const StoredCrashRecord&, TimePoint now);
    void onConfiguration(const std::string& document);
    Awaitable<> serveReadiness(HttpExchange&);
    void onFleetMessage(const FleetMessage&);
    Awaitable<> reportLoop();
    Awaitable<> tickLoop();
    Awaitable<> handleStopSignals();
    Awaitable<> drainAndStop();
    /// Writes the usage totals to the store and hands them to peers; false if neither worked.
    Awaitable<bool> recordLastUsage();
    Awaitable<> servePeer(HttpExchange&);
    void cutRequests();
    void logCutConnections();
    Awaitable<> reloadLoop();
    bool ready() const;
    StoreView storeView() const;
    void updateGauges();
    void countInstances();

    EntrySettings m_settings;
    EntryPlatform m_platform;
    asio::io_context m_io { 1 };
    Random m_random;
    ActiveConfiguration m_configuration;
    TargetDirectory m_directory;
    TargetLimits m_targetLimits;
    FleetView m_fleet;
    FleetCensus m_census;
    StoreReplica m_replica;
    StoreFollower m_follower;
    Dispatcher m_dispatcher;
    OutputEstimator m_outputEstimator;
    FleetLink m_link;
    PlacementClient m_placementClient;
    PlacementServer m_placementServer;
    LiveStreams m_liveStreams;
    RetryBudget m_retryBudget;
    CrashGuard m_crashGuard;
    PromptGuardLink m_promptGuardLink;
    PromptGuard m_promptGuard;
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
    TargetPathProber m_targetPathProber;
    RequestHandler m_requestHandler;
    PeerFeedServer m_peerFeed;
    HttpServer m_callerServer;
    HttpServer m_readinessServer;
    HttpServer m_peerServer;
    asio::signal_set m_stopSignals;
    asio::signal_set m_reloadSignals;
    bool m_wasReady = false;
    int m_storeRestorations = 0;
    /// Since when a peer has had a newer configuration in force than this instance.
    std::optional<TimePoint> m_behindPeerSince;
    /// Records that peers hand over from now on would end with this process.
    bool m_takesUsageRecords = true;
    std::optional<int> m_retrySharers;
};

}
