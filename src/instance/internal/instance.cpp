#include "instance/instance.h"

#include "common/hash.h"
#include "common/log.h"
#include "common/stopsignals.h"
#include "instance/httpinstancelist.h"
#include "keyvalue/etcdkeyvaluestore.h"
#include "net/eventloop.h"
#include "net/logflusher.h"

#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    constexpr auto drainCheckInterval = Milliseconds(50);
    // Instances that do not watch the key-value service receive configurations from peers and
    // poll the service only at this interval, in case all messages with a configuration were lost.
    constexpr auto nonWatcherPollInterval = Seconds(15);
    constexpr auto metricsInterval = Milliseconds(500);
    /// A later sign of life than this shows a standstill.
    constexpr auto minStandstill = metricsInterval + Milliseconds(350);
    /// Time between writes of use while the host may kill the process at any time.
    constexpr auto usageSaveInterval = Milliseconds(1000);

}

namespace {

    PeerNetworkOptions peerOptions(const Settings& settings)
    {
        return { .name = settings.instance.name, .failureDomain = settings.instance.failureDomain, .key = settings.peers.key, .listen = settings.listen.peers };
    }

    /// Includes draining instances, which still answer their peers.
    std::vector<Member> membersOf(const InstanceList& list)
    {
        std::vector<Member> members;
        for (const auto& instance : list.instances)
            members.push_back({ .name = instance.name, .peerEndpoint = instance.peerEndpoint, .callerEndpoint = instance.callerEndpoint });
        return members;
    }

}

Instance::Instance(Settings settings)
    : m_settings(std::move(settings))
    , m_random(randomFromSystem())
    , m_incarnation(randomId(m_random))
    , m_spanWriter(m_settings.traces.file, m_settings.instance.name)
    , m_handleSealer(m_settings.peers.key)
    , m_keyValue(std::make_shared<EtcdKeyValueStore>(m_settings.platform.keyValueService, m_settings.platform.timeout))
    , m_instanceList(std::make_unique<HttpInstanceList>(m_settings.platform.instanceList, m_settings.platform.timeout))
    , m_configurationStore(m_keyValue)
    , m_schedulerHost(m_io, m_engines, m_settings.scheduling, m_random())
    , m_peerNetwork(m_io, peerOptions(m_settings), m_configuration, Random(m_random()))
    , m_permits(m_io, m_schedulerHost, m_peerNetwork, stableHash(m_settings.instance.name + m_incarnation))
    , m_quarantine(QuarantineOptions {}, m_peerNetwork)
    , m_claims(m_io, m_keyValue, ClaimCommitterOptions { .retention = m_settings.claims.retention, .batchWindow = m_settings.claims.batchWindow })
    , m_usageWriter(*m_keyValue, m_usage, usageKey(nativeUsagePrefix, m_settings.instance.name, m_incarnation))
    , m_gatewayContext { .io = m_io, .settings = m_settings, .keyValue = m_keyValue, .configuration = m_configuration, .configurationStore = m_configurationStore, .engines = m_engines, .permits = m_permits, .claims = m_claims, .quarantine = m_quarantine, .usage = m_usage, .metrics = m_metrics, .decisions = m_decisionLog, .spans = m_spanWriter, .sealer = m_handleSealer, .random = m_random }
    , m_gateway(m_gatewayContext, [this] { return status(); })
    , m_server(m_io, m_settings.limits, [this](HttpExchange& exchange) {
        takeStopSignal();
        return m_gateway.handle(exchange);
    })
    , m_signals(m_io, SIGTERM, SIGINT)
    , m_stopSignalReceiver(minStandstill)
{
    m_configuration.onChange([this](const Configuration& configuration) { onConfiguration(configuration); });
}

int Instance::run()
{
    setLogLevel(m_settings.logLevel);
    auto callerEndpoint = m_server.listen(m_settings.listen.callers);
    if (!callerEndpoint) {
        logEvent(LogLevel::Error, "listen_failed", { { "peer", callerEndpoint.error().peer }, { "detail", callerEndpoint.error().detail } });
        return 1;
    }
    auto peerEndpoint = m_peerNetwork.start(*callerEndpoint);
    if (!peerEndpoint) {
        logEvent(LogLevel::Error, "listen_failed", { { "peer", peerEndpoint.error().peer }, { "detail", peerEndpoint.error().detail } });
        return 1;
    }
    logEvent(LogLevel::Info, "listening", { { "instance", m_settings.instance.name }, { "callers", toString(*callerEndpoint) }, { "peers", toString(*peerEndpoint) } });
    m_peerNetwork.onPermitMessage([this](const std::string& from, const PermitMessage& message) { m_permits.onMessage(from, message); });
    m_peerNetwork.onQuarantineMessage([this](const QuarantineMessage& message) { m_quarantine.onMessage(message, Clock::now()); });
    m_peerNetwork.onOwnersChanged([this] { m_permits.onOwnersChanged(); });
    m_schedulerHost.start();
    m_permits.start();
    asio::co_spawn(m_io, flushLogPeriodically(), reportFailedHandler);
    asio::co_spawn(m_io, loadConfigurationLoop(), reportFailedHandler);
    asio::co_spawn(m_io, instanceListLoop(), reportFailedHandler);
    asio::co_spawn(m_io, handleStopSignals(), reportFailedHandler);
    asio::co_spawn(m_io, metricsLoop(), reportFailedHandler);
    asio::co_spawn(m_io, m_usageWriter.run(m_settings.usage.flushInterval), reportFailedHandler);
    runEventLoop(m_io);
    logEvent(LogLevel::Info, "stopped", { { "instance", m_settings.instance.name } });
    flushLog();
    return 0;
}

void Instance::onConfiguration(const Configuration& configuration)
{
    m_engines.setConfiguration(configuration);
    m_schedulerHost.refreshEngines();
    m_peerNetwork.announceConfiguration(configuration.revision);
    m_metrics.setConfigurationRevision(static_cast<double>(configuration.revision));
}

Awaitable<> Instance::loadConfigurationLoop()
{
    TimePoint lastPoll;
    while (true) {
        bool pollDue = m_peerNetwork.isWatcher() || !m_configuration.ready() || lastPoll + nonWatcherPollInterval < Clock::now();
        if (!pollDue) {
            co_await sleepFor(m_settings.platform.configurationPollInterval);
            continue;
        }
        lastPoll = Clock::now();
        auto newerRecord = co_await m_configurationStore.fetchNewer(m_configuration.record());
        if (newerRecord) {
            m_configurationConfirmedAt = Clock::now();
            if (*newerRecord)
                m_configuration.adopt(**newerRecord);
            else
                m_configuration.markReady();
        }
        co_await sleepFor(m_settings.platform.configurationPollInterval);
    }
}

Awaitable<> Instance::instanceListLoop()
{
    while (true) {
        auto list = co_await m_instanceList->fetch();
        if (list) {
            if (m_peerNetwork.membership().shouldPollInstanceList())
                m_peerNetwork.onInstanceList(membersOf(*list));
            std::set<std::string> drainingTargets(list->drainingTargets.begin(), list->drainingTargets.end());
            if (drainingTargets != m_engines.drainingTargets()) {
                m_engines.setDraining(std::move(drainingTargets));
                m_schedulerHost.refreshEngines();
            }
        }
        co_await sleepFor(m_settings.platform.instanceListPollInterval);
    }
}

Awaitable<> Instance::metricsLoop()
{
    while (true) {
        co_await sleepFor(metricsInterval);
        m_stopSignalReceiver.onRunning();
        m_metrics.setLiveMembers(static_cast<double>(m_peerNetwork.membership().ownerCandidates().size()));
        m_metrics.setWaitingRequests(static_cast<double>(m_schedulerHost.waiting()));
        m_metrics.setConfigurationStaleness(secondsBetween(m_configurationConfirmedAt, Clock::now()));
    }
}

/// After a standstill, requests may be handled before the signals that came first.
void Instance::takeStopSignal(std::optional<int> handledSignal)
{
    if (auto signal = m_stopSignalReceiver.take(handledSignal))
        beginStop(*signal);
}

void Instance::beginStop(const StopSignal& signal)
{
    m_gatewayContext.stopping = true;
    logEvent(LogLevel::Info, "stopping", { { "signal", std::int64_t(signal.number) }, { "signal_age_at_most_ms", std::chrono::duration_cast<Milliseconds>(signal.maxAge).count() }, { "in_flight", std::int64_t(m_gatewayContext.inFlight) } });
    asio::co_spawn(m_io, drainAndStop(signal), reportFailedHandler);
}

Awaitable<> Instance::handleStopSignals()
{
    auto [error, signal] = co_await m_signals.async_wait(asTuple);
    if (error)
        co_return;
    StopSignals signals;
    signals.endsAtOnce(signal);
    takeStopSignal(signal);
    while (true) {
        auto [repeatError, repeatedSignal] = co_await m_signals.async_wait(asTuple);
        if (repeatError)
            co_return;
        if (signals.endsAtOnce(repeatedSignal))
            break;
        logEvent(LogLevel::Info, "stop_signal_repeated", { { "signal", std::int64_t(repeatedSignal) } });
    }
    logEvent(LogLevel::Warning, "stopped_early", { { "cause", std::string("second interrupt") }, { "cut_requests", std::int64_t(m_gatewayContext.inFlight) } });
    m_io.stop();
}

/// Reports "not ready" but keeps accepting connections until the load balancer has stopped sending
/// requests, so that callers do not find a closed port. Then waits for running requests to end, at
/// most until the drain limit if one is set.
Awaitable<> Instance::drainAndStop(StopSignal signal)
{
    m_peerNetwork.announceLeaving();
    // The host may have sent the signal earlier, and may kill the process that much earlier.
    if (signal.maxAge.count() > 0)
        asio::co_spawn(m_io, m_usageWriter.run(usageSaveInterval), reportFailedHandler);
    co_await sleepFor(m_settings.stopping.balancerDetectionTime);
    m_server.close();
    m_server.closeIdleConnections();
    auto drainLimit = m_settings.stopping.maxDrainTime;
    auto drainStartedAt = Clock::now();
    while (m_server.connectionCounts().busy() > 0) {
        bool timedOut = drainLimit.count() > 0 && Clock::now() - drainStartedAt > drainLimit;
        if (timedOut) {
            logEvent(LogLevel::Warning, "stopped_early", { { "cause", std::string("longest_drain_ms") }, { "cut_requests", std::int64_t(m_gatewayContext.inFlight) } });
            break;
        }
        co_await sleepFor(drainCheckInterval);
    }
    co_await m_usageWriter.flush();
    m_io.stop();
}

std::string Instance::status() const
{
    nlohmann::json members = nlohmann::json::array();
    for (const auto& member : m_peerNetwork.membership().members())
        members.push_back({ { "name", member.name }, { "state", std::string(toString(member.state)) }, { "failure_domain", member.failureDomain }, { "incarnation", member.incarnation }, { "peers", toString(member.peerEndpoint) } });
    nlohmann::json owners = nlohmann::json::object();
    for (const auto& model : m_engines.models()) {
        auto owner = m_peerNetwork.ownerOf(model);
        owners[model] = owner.isLocal() ? m_settings.instance.name : owner.name;
    }
    nlohmann::json quarantined = nlohmann::json::array();
    for (const auto& quarantineEntry : m_quarantine.entries(Clock::now()))
        quarantined.push_back({ { "fingerprint", hexOf(quarantineEntry.fingerprint) }, { "standing", quarantineEntry.standing == Standing::Convicted ? "convicted" : "suspect" }, { "deaths", quarantineEntry.deaths } });
    const auto& transportCounters = m_peerNetwork.counters();
    nlohmann::json body {
        { "members", members },
        { "owners", owners },
        { "quarantine", quarantined },
        { "watches_key_value_service", m_peerNetwork.isWatcher() },
        { "peer_bytes_sent", transportCounters.bytesSent },
        { "peer_messages_sent", transportCounters.messagesSent },
        { "peer_connections_opened", transportCounters.connectionsOpened },
        { "suspicions", m_peerNetwork.membership().suspicions() },
        { "instance", m_settings.instance.name },
        { "incarnation", m_incarnation },
        { "failure_domain", m_settings.instance.failureDomain },
        { "stopping", m_gatewayContext.stopping },
        { "revision", m_configuration.current().revision },
        { "staleness_seconds", secondsBetween(m_configurationConfirmedAt, Clock::now()) },
        { "in_flight", m_gatewayContext.inFlight },
        { "waiting", m_schedulerHost.waiting() },
        { "running", m_schedulerHost.running() },
        { "leaving_targets", m_engines.drainingTargets() },
    };
    return body.dump();
}

}
