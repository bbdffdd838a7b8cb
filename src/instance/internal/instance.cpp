#include "instance/instance.h"

#include "common/hash.h"
#include "common/log.h"
#include "instance/httpinstancelist.h"
#include "keyvalue/etcdkeyvaluestore.h"
#include "net/logflusher.h"

#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    constexpr auto drainCheckInterval = Milliseconds(50);
    // Instances that do not watch still look now and then, in case every push was lost.
    constexpr auto unwatchedPoll = Seconds(15);
    constexpr auto metricsInterval = Milliseconds(500);

}

namespace {

    PeerNetworkOptions peerOptions(const Settings& settings)
    {
        return { .name = settings.instance.name, .failureDomain = settings.instance.failureDomain, .key = settings.peers.key, .listen = settings.listen.peers };
    }

    /// An instance that the list calls leaving is still somebody to talk to.
    std::vector<Member> membersOf(const InstanceList& list)
    {
        std::vector<Member> members;
        for (const auto& instance : list.instances)
            members.push_back({ .name = instance.name, .peerEndpoint = instance.peers, .callerEndpoint = instance.callers });
        return members;
    }

}

Instance::Instance(Settings settings)
    : m_settings(std::move(settings))
    , m_random(randomFromSystem())
    , m_incarnation(randomId(m_random))
    , m_spans(m_settings.traces.file, m_settings.instance.name)
    , m_sealer(m_settings.peers.key)
    , m_keyValue(std::make_shared<EtcdKeyValueStore>(m_settings.platform.keyValueService, m_settings.platform.timeout))
    , m_list(std::make_unique<HttpInstanceList>(m_settings.platform.instanceList, m_settings.platform.timeout))
    , m_configurationStore(m_keyValue)
    , m_granters(m_io, m_engines, m_settings.scheduling, m_random())
    , m_peers(m_io, peerOptions(m_settings), m_configuration, Random(m_random()))
    , m_permits(m_io, m_granters, m_peers, stableHash(m_settings.instance.name + m_incarnation))
    , m_quarantine(QuarantineOptions {}, m_peers)
    , m_claims(m_io, m_keyValue, ClaimCommitterOptions { .retention = m_settings.claims.retention, .batchWindow = m_settings.claims.batchWindow })
    , m_usageWriter(*m_keyValue, m_usage, usageKey(nativeUsagePrefix, m_settings.instance.name, m_incarnation))
    , m_gatewayContext { .io = m_io, .settings = m_settings, .keyValue = m_keyValue, .configuration = m_configuration, .configurationStore = m_configurationStore, .engines = m_engines, .permits = m_permits, .claims = m_claims, .quarantine = m_quarantine, .usage = m_usage, .metrics = m_metrics, .decisions = m_decisions, .spans = m_spans, .sealer = m_sealer, .random = m_random }
    , m_gateway(m_gatewayContext, [this] { return status(); })
    , m_server(m_io, m_settings.limits, [this](HttpExchange& exchange) { return m_gateway.handle(exchange); })
    , m_signals(m_io, SIGTERM, SIGINT)
{
    m_configuration.onChange([this](const Configuration& configuration) { onConfiguration(configuration); });
}

int Instance::run()
{
    setLogLevel(m_settings.logLevel);
    auto bound = m_server.listen(m_settings.listen.callers);
    if (!bound) {
        logEvent(LogLevel::Error, "listen_failed", { { "peer", bound.error().peer }, { "detail", bound.error().detail } });
        return 1;
    }
    auto peers = m_peers.start(*bound);
    if (!peers) {
        logEvent(LogLevel::Error, "listen_failed", { { "peer", peers.error().peer }, { "detail", peers.error().detail } });
        return 1;
    }
    logEvent(LogLevel::Info, "listening", { { "instance", m_settings.instance.name }, { "callers", toString(*bound) }, { "peers", toString(*peers) } });
    m_peers.onPermitMessage([this](const std::string& from, const PermitMessage& message) { m_permits.onMessage(from, message); });
    m_peers.onQuarantineMessage([this](const QuarantineMessage& message) { m_quarantine.onMessage(message, Clock::now()); });
    m_peers.onOwnersChanged([this] { m_permits.onOwnersChanged(); });
    m_granters.start();
    m_permits.start();
    asio::co_spawn(m_io, flushLogPeriodically(), asio::detached);
    asio::co_spawn(m_io, loadConfigurationLoop(), asio::detached);
    asio::co_spawn(m_io, listLoop(), asio::detached);
    asio::co_spawn(m_io, signalLoop(), asio::detached);
    asio::co_spawn(m_io, metricsLoop(), asio::detached);
    asio::co_spawn(m_io, m_usageWriter.run(m_settings.usage.flushInterval), asio::detached);
    m_io.run();
    logEvent(LogLevel::Info, "stopped", { { "instance", m_settings.instance.name } });
    flushLog();
    return 0;
}

void Instance::onConfiguration(const Configuration& configuration)
{
    m_engines.setConfiguration(configuration);
    m_granters.refreshEngines();
    m_peers.announceConfiguration(configuration.revision);
    m_metrics.configurationRevision(static_cast<double>(configuration.revision));
}

Awaitable<> Instance::loadConfigurationLoop()
{
    TimePoint lastPoll;
    while (true) {
        bool due = m_peers.isWatcher() || !m_configuration.ready() || lastPoll + unwatchedPoll < Clock::now();
        if (!due) {
            co_await sleepFor(m_settings.platform.configurationPoll);
            continue;
        }
        lastPoll = Clock::now();
        auto newer = co_await m_configurationStore.fetchNewer(m_configuration.record());
        if (newer) {
            m_confirmedAt = Clock::now();
            if (*newer)
                m_configuration.adopt(**newer);
            else
                m_configuration.confirm();
        }
        co_await sleepFor(m_settings.platform.configurationPoll);
    }
}

Awaitable<> Instance::listLoop()
{
    while (true) {
        auto list = co_await m_list->fetch();
        if (list) {
            if (m_peers.membership().shouldPollInstanceList())
                m_peers.onInstanceList(membersOf(*list));
            std::set<std::string> leaving(list->leavingTargets.begin(), list->leavingTargets.end());
            if (leaving != m_engines.leaving()) {
                m_engines.setLeaving(std::move(leaving));
                m_granters.refreshEngines();
            }
        }
        co_await sleepFor(m_settings.platform.listPoll);
    }
}

Awaitable<> Instance::metricsLoop()
{
    while (true) {
        co_await sleepFor(metricsInterval);
        m_metrics.members(static_cast<double>(m_peers.membership().ownerCandidates().size()));
        m_metrics.waitingRequests(static_cast<double>(m_granters.waiting()));
        m_metrics.configurationStaleness(secondsBetween(m_confirmedAt, Clock::now()));
    }
}

Awaitable<> Instance::signalLoop()
{
    auto [firstError, first] = co_await m_signals.async_wait(asTuple);
    logEvent(LogLevel::Info, "stopping", { { "signal", std::int64_t(first) }, { "in_flight", std::int64_t(m_gatewayContext.inFlight) } });
    asio::co_spawn(m_io, stop(), asio::detached);
    co_await m_signals.async_wait(asTuple);
    logEvent(LogLevel::Warning, "stopped_early", { { "cause", std::string("second signal") }, { "cut_requests", std::int64_t(m_gatewayContext.inFlight) } });
    m_io.stop();
}

/// Readiness goes false first and listening goes on, so that the balancer turns
/// away before anybody meets a closed port. Running streams end by themselves.
Awaitable<> Instance::stop()
{
    m_gatewayContext.stopping = true;
    m_peers.leave();
    co_await sleepFor(m_settings.stopping.balancerNotice);
    m_server.close();
    auto limit = m_settings.stopping.longestDrain;
    auto started = Clock::now();
    while (m_gatewayContext.inFlight > 0) {
        bool late = limit.count() > 0 && Clock::now() - started > limit;
        if (late) {
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
    for (const auto& member : m_peers.membership().members())
        members.push_back({ { "name", member.name }, { "state", std::string(toString(member.state)) }, { "failure_domain", member.failureDomain }, { "incarnation", member.incarnation }, { "peers", toString(member.peerEndpoint) } });
    nlohmann::json owners = nlohmann::json::object();
    for (const auto& model : m_engines.models()) {
        auto owner = m_peers.ownerOf(model);
        owners[model] = owner.isLocal() ? m_settings.instance.name : owner.name;
    }
    nlohmann::json quarantined = nlohmann::json::array();
    for (const auto& entry : m_quarantine.entries(Clock::now()))
        quarantined.push_back({ { "fingerprint", hexOf(entry.fingerprint) }, { "standing", entry.standing == Standing::Convicted ? "convicted" : "suspect" }, { "deaths", entry.deaths } });
    const auto& traffic = m_peers.counters();
    nlohmann::json body {
        { "members", members },
        { "owners", owners },
        { "quarantine", quarantined },
        { "watches_key_value_service", m_peers.isWatcher() },
        { "peer_bytes_sent", traffic.bytesSent },
        { "peer_messages_sent", traffic.messagesSent },
        { "peer_connections_opened", traffic.connectionsOpened },
        { "suspicions", m_peers.membership().suspicions() },
        { "instance", m_settings.instance.name },
        { "incarnation", m_incarnation },
        { "failure_domain", m_settings.instance.failureDomain },
        { "stopping", m_gatewayContext.stopping },
        { "revision", m_configuration.current().revision },
        { "staleness_seconds", secondsBetween(m_confirmedAt, Clock::now()) },
        { "in_flight", m_gatewayContext.inFlight },
        { "waiting", m_granters.waiting() },
        { "running", m_granters.running() },
        { "leaving_targets", m_engines.leaving() },
    };
    return body.dump();
}

}
