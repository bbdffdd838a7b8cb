#include "entry/entryinstance.h"

#include "common/log.h"
#include "common/overloaded.h"
#include "net/eventloop.h"
#include "net/logflusher.h"
#include "net/persistenttask.h"
#include "usage/usagehandover.h"

#include <algorithm>
#include <csignal>
#include <malloc.h>

namespace guavaspan {

namespace {

    constexpr auto tickInterval = Milliseconds(100);
    /// Time between full load reports, which also serve as heartbeats to the peers.
    constexpr auto reportInterval = Milliseconds(500);
    /// Subtracted from keyLifetimeAfterRevocation to allow for the delay to the target and for late timers.
    constexpr auto revocationMargin = Milliseconds(600);

    /// Time between writes of usage totals. A killed instance loses the usage since the last write,
    /// but each write is a billed call to the store.
    constexpr auto usageFlushInterval = Milliseconds(20000);

    /// Requests to cold targets are limited in each second.
    constexpr auto coldCensusWindow = Milliseconds(1000);

    /// Callers may read slowly, but a single write must complete within this time.
    constexpr auto callerWriteTimeout = Seconds(20);

    HttpLimits limitsFor(const CallerLimits& limits)
    {
        return { .maxBodyBytes = limits.maxBodyBytes, .maxHeaderBytes = limits.maxHeaderBytes, .headerTimeout = limits.headerTimeout, .writeTimeout = callerWriteTimeout, .idleTimeout = limits.idleTimeout };
    }

    /// A change is in force in time if it reaches this instance within the shorter of the times that the deployment states. Of an
    /// evacuation's time half is left for sends that are under way and for hosts that are short of time.
    StoreFollowerOptions followerOptionsOf(const EntrySettings& settings)
    {
        auto time = settings.evacuationTime ? std::min(settings.configurationTime, *settings.evacuationTime / 2) : settings.configurationTime;
        return followerOptionsFor(time, settings.failureDomain);
    }

    StoreFollower::PeerStoreFactory peerStoreFactory()
    {
        return [](const InstanceRecord& peer) { return std::make_unique<PeerFeedClient>(peer.peerEndpoint); };
    }

}

EntryInstance::EntryInstance(EntrySettings settings, EntryPlatform platform)
    : m_settings(std::move(settings))
    , m_platform(std::move(platform))
    , m_random(randomFromSystem())
    , m_configuration(m_settings.keyLifetimeAfterRevocation - revocationMargin)
    , m_targetLimits(m_settings.instance, { .overrun = m_settings.coldOverrun, .slack = m_settings.coldSlack })
    , m_fleet(m_settings.instance, m_settings.capacity, m_settings.failureDomain)
    , m_census(m_settings.instance, m_settings.retryWindow)
    , m_coldCensus(m_settings.instance, coldCensusWindow)
    , m_follower(m_platform.store, m_replica, m_fleet, followerOptionsOf(m_settings), peerStoreFactory())
    , m_dispatcher(m_io, m_directory, m_settings.failureDomain, Random(m_random()))
    , m_link(m_io, m_fleet)
    , m_placementClient(m_io, m_settings.instance, m_fleet, m_dispatcher, m_directory, m_targetLimits, m_outputEstimator, m_link)
    , m_placementServer(m_io, m_settings.instance, m_dispatcher, m_configuration, m_link)
    , m_summaryServer({ .fleet = m_fleet, .dispatcher = m_dispatcher, .directory = m_directory, .configuration = m_configuration, .link = m_link })
    , m_retryBudget({ .ratio = m_settings.retryRatio, .fleetAllowance = m_settings.retryAllowance, .window = m_settings.retryWindow })
    , m_crashGuard([this](const CrashGuardMessage& message) { std::visit([this](const auto& concreteMessage) { m_link.broadcast(concreteMessage); }, message); }, [this](const CrashRecord& record) { std::visit([this](const auto& concreteRecord) { m_crashRecordWriter.add(concreteRecord); }, record); })
    , m_promptGuardLink(m_link)
    , m_promptGuard(m_settings.instance, m_promptGuardLink, [this](const PromptPartRecord& record) { m_crashRecordWriter.add(record); })
    , m_trialClient(m_io, m_settings.instance, m_fleet, m_link)
    , m_crashRecordWriter(m_platform.keyValue, m_platform.storeSchema.crashPrefix)
    , m_usageWriter(m_platform.keyValue, m_usage, usageKey(m_platform.storeSchema.usagePrefix, m_settings.instance, std::to_string(unixMilliseconds())))
    , m_usageCustodian(m_platform.keyValue)
    , m_relayContext { .io = m_io, .wireFormat = m_platform.wireFormat, .configuration = m_configuration, .directory = m_directory, .dispatcher = m_dispatcher, .placement = m_placementClient, .operations = m_platform.operations, .streams = m_liveStreams, .retryBudget = m_retryBudget, .outputEstimator = m_outputEstimator, .usage = m_usage, .crashGuard = m_crashGuard, .promptGuard = m_promptGuard, .trials = m_trialClient, .census = m_census, .fleet = m_fleet, .failureDomain = m_settings.failureDomain, .metrics = m_metrics, .random = m_random, .targetLimits = m_targetLimits, .onTargetDraining = [this](const TargetEntry& target) { m_shutdownPoller.onDrainingAnswer(target); }, .configurationTime = m_settings.configurationTime, .activeRequests = std::make_shared<ActiveRequests>() }
    , m_moveServer(m_settings.instance, m_dispatcher, m_configuration, m_link)
    , m_handoverService({ .io = m_io, .instance = m_settings.instance, .placement = m_placementClient, .moveServer = m_moveServer, .link = m_link, .streams = m_liveStreams, .configuration = m_configuration, .directory = m_directory, .targetLimits = m_targetLimits, .operations = m_platform.operations, .observer = m_metrics })
    , m_shutdownPoller({ .io = m_io, .streams = m_liveStreams, .directory = m_directory, .operations = m_platform.operations, .link = m_link, .storeView = [this] { return storeView(); } })
    , m_registration(m_platform.keyValue, m_platform.storeSchema.instancePrefix, { .name = m_settings.instance, .peerEndpoint = m_settings.peers, .failureDomain = m_settings.failureDomain, .cpuMillicores = m_settings.capacity, .callerEndpoint = m_settings.callers, .readsSummaries = true }, unixMilliseconds())
    , m_storeRecovery({ .io = m_io, .fleet = m_fleet, .directory = m_directory, .replica = m_replica, .registration = m_registration, .usageWriter = m_usageWriter, .usageCustodian = m_usageCustodian, .crashRecordWriter = m_crashRecordWriter, .random = m_random })
    , m_configurationCatchUp({ .io = m_io, .instance = m_settings.instance, .schema = m_platform.storeSchema, .fleet = m_fleet, .replica = m_replica, .configuration = m_configuration, .random = m_random })
    , m_targetPathProber(m_io, m_dispatcher, m_directory, Random(m_random()))
    , m_requestHandler(m_relayContext)
    , m_peerFeed(m_replica)
    , m_storeChanges({ .schema = m_platform.storeSchema, .replica = m_replica, .follower = m_follower, .configuration = m_configuration, .directory = m_directory, .targetLimits = m_targetLimits, .dispatcher = m_dispatcher, .fleet = m_fleet, .crashGuard = m_crashGuard, .promptGuard = m_promptGuard, .onCallerLimits = [this](const CallerLimits& limits) { m_callerServer.setLimits(limitsFor(limits)); } })
    , m_callerServer(m_io, limitsFor({}), [this](HttpExchange& exchange) { return handleCaller(exchange); })
    , m_readinessServer(m_io, {}, [this](HttpExchange& exchange) { return serveReadiness(exchange); })
    , m_peerServer(m_io, {}, [this](HttpExchange& exchange) { return servePeer(exchange); })
    , m_stop({ .io = m_io, .relayContext = m_relayContext, .callerServer = m_callerServer, .registration = m_registration, .usage = m_usage, .usageWriter = m_usageWriter, .usageCustodian = m_usageCustodian, .reloadSettings = [this] { reloadSettings(); } }, m_settings.stopLimit)
    , m_reloadSignals(m_io, SIGHUP)
{
    limitMemory();
    m_replica.setKeyFilter([&schema = m_platform.storeSchema](const std::string& key) {
        return key == schema.configurationKey || key.starts_with(schema.targetPrefix) || key.starts_with(schema.instancePrefix) || key.starts_with(schema.crashPrefix) || key.starts_with(schema.evacuationPrefix);
    });
    m_replica.setChangeListener([this](const std::string& key, const std::optional<std::string>& value) { m_storeChanges.onStoreChange(key, value); });
    m_replica.setChangeFilter([&schema = m_platform.storeSchema](const std::string& key, const std::string& oldValue, const std::string& newValue) { return schema.changesMoreThanHeartbeat(key, oldValue, newValue); });
    m_replica.setNewsListener([this] { m_peerFeed.onReplicaChanged(); });
    m_replica.setOutdatedEntryListener([](const std::string& key) { logEvent(LogLevel::Warning, "store_entry_outdated", { { "key", key } }); });
    m_replica.setEntryOrder([&schema = m_platform.storeSchema](const std::string& key, const std::string& left, const std::string& right) { return schema.compareWriteOrder(key, left, right); });
    m_follower.setFirstListingHook([this](StoreListing& listing) { return m_configurationCatchUp.completeFirstListing(listing); });
    m_replica.setRestoreListener([this](const StoreRestored& event) { m_storeRecovery.onStoreRestored(event); });
    m_directory.setUnavailableListener([this](const TargetUnavailable& event) {
        m_crashGuard.onTargetUnavailable(event);
        m_promptGuard.onTargetUnavailable(event);
        if (event.reason == UnavailableReason::Restarted)
            m_targetLimits.onTargetGone(event.entry.id);
        m_handoverService.onTargetUnavailable(event);
    });
    m_dispatcher.setPlacementLimits(m_targetLimits);
    m_placementClient.setUnusableGrantListener([this](std::string_view reason) { m_metrics.recordUnusableGrant(std::string(reason)); });
    m_directory.evacuations().setListener([this](const EvacuationChanged& event) { m_storeChanges.onEvacuationChanged(event); });
    m_moveServer.setLocalResponseListener([this](const MoveResponse& response) { m_handoverService.onMoveResponse(response); });
    m_link.setMessageHandler([this](const FleetMessage& message) { onFleetMessage(message); });
    m_follower.setStoreLostListener([this] { m_directory.onStoreLost(Clock::now()); });
    m_follower.setStoreRegainedListener([this](std::optional<BootTime> at) {
        if (at)
            m_directory.onStoreRegained(Clock::now() - (BootClock::now() - *at));
        else
            m_directory.onStoreNotLost();
    });
    m_peerFeed.setOutageEnd([this] { return m_follower.outageEnd(); });
}

/// Peers and readiness probes are not part of the budget, so that callers cannot shut them out. Their needs are part of its reserve.
void EntryInstance::limitMemory()
{
    // Larger blocks are mapped one by one, so that their memory returns to the system when a body or an answer is released. By default
    // the threshold grows with the largest block, and a small block behind a large one keeps the heap from shrinking.
    constexpr int minMappedBytes = 128 << 10;
    if (m_settings.host.memoryBytes == 0)
        return;
    ::mallopt(M_MMAP_THRESHOLD, minMappedBytes);
    ::mallopt(M_TRIM_THRESHOLD, minMappedBytes);
    auto limits = connectionLimitsFor(m_settings.host);
    m_memoryBudget = std::make_shared<MemoryBudget>(limits);
    m_callerServer.setBudget(m_memoryBudget);
    logEvent(LogLevel::Info, "memory_budget", { { "host_bytes", std::int64_t(m_settings.host.memoryBytes) }, { "budget_bytes", std::int64_t(limits.bytes) }, { "host_descriptors", std::int64_t(m_settings.host.descriptors) }, { "budget_descriptors", std::int64_t(limits.descriptors) } });
}

bool EntryInstance::listen()
{
    auto reportListenFailure = [](const char* listener, const Error& error) {
        logEvent(LogLevel::Error, "listen_failed", { { "what", std::string(listener) }, { "peer", error.peer }, { "detail", error.detail } });
        return false;
    };
    if (auto bound = m_callerServer.listen(m_settings.callers); !bound)
        return reportListenFailure("callers", bound.error());
    if (auto bound = m_readinessServer.listen(m_settings.readiness); !bound)
        return reportListenFailure("readiness", bound.error());
    if (auto bound = m_peerServer.listen(m_settings.peers); !bound)
        return reportListenFailure("peers", bound.error());
    if (auto bound = m_link.listen(m_settings.peers); !bound)
        return reportListenFailure("loads", bound.error());
    return true;
}

int EntryInstance::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    if (!listen()) {
        flushLog();
        return 1;
    }
    logEvent(LogLevel::Info, "started", { { "instance", m_settings.instance }, { "failure_domain", m_settings.failureDomain }, { "callers", toString(m_settings.callers) }, { "store", toString(m_settings.store) } });
    runTask("log", [] { return flushLogPeriodically(); });
    runTask("store", [this] { return m_follower.followStore(); });
    runTask("peers", [this] { return m_follower.followPeers(); });
    runTask("registration", [this] { return m_registration.run(); });
    runTask("reports", [this] { return reportLoop(); });
    runTask("messages", [this] { return m_link.receiveLoop(); });
    runTask("tick", [this] { return tickLoop(); });
    runTask("stop", [this] { return m_stop.run(); });
    runTask("reload", [this] { return reloadLoop(); });
    runTask("usage", [this] { return m_usageWriter.run(usageFlushInterval); });
    runTask("custodian", [this] { return m_usageCustodian.run(); });
    runTask("crash_records", [this] { return m_crashRecordWriter.run(); });
    runTask("target_path", [this] { return m_targetPathProber.run(); });
    runEventLoop(m_io);
    logEvent(LogLevel::Info, "stopped", { { "instance", m_settings.instance } });
    flushLog();
    return 0;
}

void EntryInstance::runTask(const char* name, std::function<Awaitable<>()> task)
{
    asio::co_spawn(m_io, runPersistently(name, std::move(task)), reportFailedHandler);
}

bool EntryInstance::ready() const
{
    bool requiresKeys = m_configuration.ready() && m_configuration.table()->requiresKeys();
    bool keysCurrent = !requiresKeys || m_configuration.keysAreCurrent(BootClock::now());
    return m_configuration.ready() && keysCurrent && !m_relayContext.stop;
}

StoreView EntryInstance::storeView() const
{
    return { .reachable = m_follower.reachable(), .age = m_replica.age(BootClock::now()) };
}

Awaitable<> EntryInstance::serveReadiness(HttpExchange& exchange)
{
    auto path = exchange.path();
    if (path == "/metrics") {
        updateGauges();
        Reply metricsReply { .contentType = "text/plain; version=0.0.4", .body = m_metrics.serialize() };
        co_await exchange.send(std::move(metricsReply));
        co_return;
    }
    m_stop.takeSignal();
    bool isReady = ready();
    Reply reply { .status = isReady ? 200U : 503U, .body = isReady ? R"({"ready":true})" : R"({"ready":false})" };
    co_await exchange.send(std::move(reply));
}

std::size_t EntryInstance::countSlowTargets() const
{
    std::size_t count = 0;
    std::set<std::string> services;
    for (const auto* target : m_directory.usableTargets())
        services.insert(target->service);
    auto table = m_configuration.table();
    for (const auto& name : services) {
        const auto* service = table ? table->service(name) : nullptr;
        if (service)
            count += m_dispatcher.slowTargets(name, service->engine ? PaceKind::Events : PaceKind::PlainAnswers).size();
    }
    return count;
}

void EntryInstance::updateGauges()
{
    m_metrics.setFleetBytesSent(m_link.bytesSent());
    m_metrics.setEvacuatedDomains(m_directory.evacuations().domains());
    if (m_memoryBudget)
        m_metrics.setMemory(*m_memoryBudget);
    m_metrics.setGauges({
        .liveStreams = static_cast<double>(m_liveStreams.size()),
        .waitingRequests = static_cast<double>(m_dispatcher.waitingCount()),
        .configurationVersion = m_configuration.ready() ? static_cast<double>(m_configuration.table()->version()) : 0,
        .configurationAgeSeconds = std::chrono::duration<double>(m_configuration.age(BootClock::now())).count(),
        .peers = static_cast<double>(m_fleet.reachablePeers(Clock::now()).size()),
        .targets = static_cast<double>(m_directory.size()),
        .storeCalls = static_cast<double>(m_follower.storeCalls()),
        .storeEra = static_cast<double>(m_replica.revision().era),
        .storeRevision = static_cast<double>(m_replica.revision().number),
        .storeRestorations = static_cast<double>(m_replica.restorations()),
        .rejectedStoreListings = static_cast<double>(m_follower.rejectedListings()),
        .olderStoreEntries = static_cast<double>(m_replica.olderEntries()),
        .limitedTargets = static_cast<double>(m_targetLimits.size()),
        .coldTargets = static_cast<double>(m_targetLimits.coldTargets(Clock::now())),
        .droppedLogLines = static_cast<double>(droppedLogLines()),
        .failedHandlers = static_cast<double>(failedHandlers()),
        .interruptedAnswers = static_cast<double>(m_crashGuard.statistics().interruptedAnswers),
        .countedCrashes = static_cast<double>(m_crashGuard.statistics().countedCrashes),
        .uncountedCrashes = static_cast<double>(m_crashGuard.statistics().uncountedCrashes),
        .retrySharers = static_cast<double>(m_census.sharers(BootClock::now()).value_or(0)),
        .convictedPromptParts = static_cast<double>(m_promptGuard.convictedParts()),
        .unreachableServices = static_cast<double>(m_dispatcher.targetPath().lostServices().size()),
        .summarisedInstances = static_cast<double>(m_fleet.members(Clock::now()).size()),
        .silentInstances = static_cast<double>(m_fleet.silentInstances(Clock::now()).size()),
        .slowTargets = static_cast<double>(countSlowTargets()),
    });
}

void EntryInstance::onFleetMessage(const FleetMessage& message)
{
    std::visit(Overloaded {
                   [&](const InstanceLoadReport& report) {
                       m_placementClient.onLoadReport(report, Clock::now());
                       m_placementServer.onLoadReport(report);
                       m_summaryServer.onReport(report, Clock::now());
                       m_configurationCatchUp.onPeerVersion(report.instance, report.configurationVersion, Clock::now());
                   },
                   [&](const FleetSummary& summary) {
                       m_placementClient.onSummary(summary, Clock::now());
                       m_configurationCatchUp.onPeerVersion(summary.configurationHolder, summary.configurationVersion, Clock::now());
                   },
                   // The link delivers the messages of a batch one by one.
                   [&](const BroadcastBatch&) {},
                   [&](const PlacementQuery& query) { m_placementServer.onQuery(query); },
                   [&](const PlacementResponse& response) { m_placementClient.onResponse(response); },
                   [&](const PlacementRelease& release) { m_placementServer.onRelease(release); },
                   [&](const MoveQuery& query) { m_moveServer.onQuery(query); },
                   [&](const MoveResponse& response) { m_handoverService.onMoveResponse(response); },
                   [&](const MoveRelease& release) { m_moveServer.onRelease(release); },
                   [&](const ShutdownNotice& notice) { m_shutdownPoller.onPeerNotice(notice, Clock::now()); },
                   [&](const PriorCompletionNotice& notice) { m_crashGuard.onPeerMessage(notice, Clock::now()); },
                   [&](const InterruptionReport& report) { m_crashGuard.onPeerMessage(report, Clock::now()); },
                   [&](const CrashReport& report) { m_crashGuard.onPeerMessage(report, Clock::now()); },
                   [&](const CompletionReport& report) { m_crashGuard.onPeerMessage(report, Clock::now()); },
                   [&](const ConvictionNotice& notice) { m_crashGuard.onPeerMessage(notice, Clock::now()); },
                   [&](const PardonNotice& notice) { m_crashGuard.onPeerMessage(notice, Clock::now()); },
                   [&](const PromptInterruptionReport& report) { m_promptGuard.onPeerMessage(report, Clock::now()); },
                   [&](const PromptPartInquiry& inquiry) { m_promptGuard.onPeerMessage(inquiry, Clock::now()); },
                   [&](const PromptPartClearance& clearance) { m_promptGuard.onPeerMessage(clearance, Clock::now()); },
                   [&](const PromptPartConviction& conviction) { m_promptGuard.onPeerMessage(conviction, Clock::now()); },
                   [&](const TrialQuery& query) { m_trialClient.onQuery(query, Clock::now()); },
                   [&](const TrialResponse& response) { m_trialClient.onResponse(response); },
                   [&](const TrialRelease& release) { m_trialClient.onRelease(release, Clock::now()); },
               },
        message);
}

void EntryInstance::countInstances()
{
    if (!m_replica.loaded())
        return;
    auto names = m_fleet.peerNames();
    m_targetLimits.onInstances(names, Clock::now());
    m_dispatcher.brittleServices().setInstances(names.size() + 1);
    auto now = BootClock::now();
    RegistrationView view { .instances = std::move(names), .includesSelf = m_fleet.isRegistered(m_registration.key()), .confirmedAt = m_replica.confirmedAt() };
    m_census.onView(view, now);
    m_coldCensus.onView(view, now);
    m_targetLimits.onColdSharers(coldSharers(), Clock::now());
    auto sharers = m_census.sharers(now);
    if (sharers == m_retrySharers)
        return;
    m_retrySharers = sharers;
    logEvent(LogLevel::Info, "retry_share_changed", { { "sharers", std::int64_t(sharers.value_or(0)) }, { "instances_seen", std::int64_t(m_census.instancesSeen()) }, { "registered", m_fleet.isRegistered(m_registration.key()) }, { "view_age_ms", std::chrono::duration_cast<Milliseconds>(m_replica.age(now)).count() } });
}

std::optional<ColdSharers> EntryInstance::coldSharers() const
{
    auto state = m_coldCensus.state(BootClock::now());
    if (state == CensusState::Unknown)
        return std::nullopt;
    ColdSharers sharers { .instances = m_coldCensus.instances(), .outdated = state == CensusState::Outdated };
    auto table = m_configuration.table();
    for (const auto& service : table ? table->services() : std::vector<ServiceInfo>()) {
        if (service.engine && m_fleet.ownsPool(service.name, Clock::now()))
            sharers.ownedPools.insert(service.name);
    }
    return sharers;
}

void EntryInstance::sendReport()
{
    m_placementClient.setStoreState(m_replica.revision().era, m_configuration.version());
    auto report = m_placementClient.sendLoadReport();
    m_summaryServer.onReport(report, Clock::now());
}

/// Sends full load reports at intervals, which make up for lost messages; changes of load are sent immediately.
Awaitable<> EntryInstance::reportLoop()
{
    while (true) {
        countInstances();
        sendReport();
        auto now = Clock::now();
        bool awaitsReports = !m_fleet.usesSummaries() || m_fleet.aggregates();
        for (const auto& name : m_fleet.takeUnresponsivePeers(now)) {
            if (awaitsReports)
                logEvent(LogLevel::Info, "peer_silent", { { "peer", name } });
            m_dispatcher.ledger().removePeer(name);
        }
        m_placementClient.expireSummary(now);
        m_dispatcher.paces().onTick(now);
        m_dispatcher.keptPrompts().onTick(now);
        m_summaryServer.sendSummaries(now);
        co_await sleepFor(reportInterval);
    }
}

Awaitable<> EntryInstance::tickLoop()
{
    while (true) {
        m_stop.onRunning();
        m_stop.takeSignal();
        m_directory.onTick(Clock::now());
        m_fleet.onTick(Clock::now());
        if (m_placementClient.needsReport())
            sendReport();
        m_summaryServer.onTick(Clock::now());
        m_link.onTick(Clock::now());
        m_placementServer.onTick(Clock::now());
        m_moveServer.onTick(Clock::now());
        m_shutdownPoller.onTick(Clock::now());
        m_crashGuard.onTick(Clock::now());
        m_promptGuard.onTick(Clock::now());
        m_trialClient.onTick(Clock::now());
        m_configuration.confirm(m_replica.confirmedAt());
        m_placementClient.setRelaysForPeers(ready());
        if (ready() != m_wasReady) {
            m_wasReady = !m_wasReady;
            countInstances();
            logEvent(LogLevel::Info, m_wasReady ? "ready" : "not_ready", { { "configuration", m_configuration.ready() ? m_configuration.table()->version() : 0 }, { "configuration_age_ms", std::chrono::duration_cast<Milliseconds>(m_configuration.age(BootClock::now())).count() }, { "stopping", m_relayContext.stop.has_value() } });
        }
        co_await sleepFor(tickInterval);
    }
}

Awaitable<> EntryInstance::reloadLoop()
{
    while (true) {
        auto [error, signal] = co_await m_reloadSignals.async_wait(asTuple);
        if (error)
            co_return;
        reloadSettings();
    }
}

/// Time limits may change while the process runs, but addresses may not.
void EntryInstance::reloadSettings()
{
    auto settings = m_platform.reloadSettings();
    if (!settings) {
        logEvent(LogLevel::Error, "settings_unreadable", { { "kept", true } });
        return;
    }
    m_stop.setLimit(settings->stopLimit);
    m_configuration.setMaxUnconfirmedTime(settings->keyLifetimeAfterRevocation - revocationMargin);
    m_relayContext.configurationTime = settings->configurationTime;
    logEvent(LogLevel::Info, "settings_reloaded", { { "stop_limit_ms", settings->stopLimit.count() }, { "key_lifetime_ms", settings->keyLifetimeAfterRevocation.count() }, { "configuration_time_ms", settings->configurationTime.count() }, { "stopping", m_relayContext.stop.has_value() } });
}

/// After a standstill, requests and timers may be handled before the signals that came first.
Awaitable<> EntryInstance::handleCaller(HttpExchange& exchange)
{
    m_stop.takeSignal();
    return m_requestHandler.handle(exchange);
}

Awaitable<> EntryInstance::servePeer(HttpExchange& exchange)
{
    if (exchange.path() != usageHandoverPath) {
        co_await m_peerFeed.handle(exchange);
        co_return;
    }
    if (m_stop.takesUsageRecords()) {
        co_await receiveUsage(exchange, m_usageCustodian);
        co_return;
    }
    Reply refusal { .status = 503 };
    co_await exchange.send(std::move(refusal));
}

}
