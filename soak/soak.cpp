#include "soak/soak.h"

#include "net/httpclient.h"
#include "platform/names.h"
#include "platform/platformstore.h"
#include "soak/constants.h"
#include "usage/usagewriter.h"

#include <algorithm>
#include <boost/asio/ip/udp.hpp>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace guavaspan::soak {

namespace {

    using nlohmann::json;

    constexpr auto faultFreeTime = Milliseconds(10000);
    constexpr auto startupTime = Milliseconds(2500);
    constexpr auto restartDelay = Milliseconds(300);
    /// Time after which the entry of an ended engine counts as expired: three publish intervals of 500 ms.
    constexpr auto entryExpiryTime = Milliseconds(1500);
    /// Longer than an engine process keeps serving while it drains.
    constexpr auto engineDrainTime = Milliseconds(3800);
    /// Time within which an engine's draining state reaches the store.
    constexpr SoakTime drainPublishTime = 300;
    /// Time after which callers send another request that crashes engines instead of the previous one.
    constexpr SoakTime crashingRequestPeriod = 9000;
    constexpr int crashingCallers = 2;
    constexpr auto pauseOfCrashingCallers = Milliseconds(250);
    /// Longest time from a crash to the end of the engine's process, with the time to notice it.
    constexpr SoakTime maxCrashDuration = 5500;
    constexpr int organisationCount = 3;
    constexpr int keysPerOrganisation = 3;
    constexpr const char* modelService = "model";
    constexpr const char* plainService = "shop";

    /// Derives a loopback address from the process id so that concurrent runs share no ports.
    std::string processLoopbackAddress()
    {
        auto pid = static_cast<unsigned>(::getpid());
        return fmt::format("127.{}.{}.{}", 1 + (pid >> 16) % 250, (pid >> 8) % 256, 1 + pid % 254);
    }

}

struct Soak::Instance {
    std::string name;
    std::string failureDomain;
    Endpoint callerEndpoint;
    Endpoint readinessEndpoint;
    std::uint16_t peerPort = 0;
    std::unique_ptr<Proxy> storeLink;
    int incarnation = 0;
    /// A planned stop is in progress.
    bool stopping = false;
};

/// An engine process and its successors, which share one proxy and failure domain.
struct Soak::ManagedEngine {
    std::string id;
    std::string failureDomain;
    bool generates = true;
    /// Limit that the engine states when it is told to.
    double requestLimit = 0;
    bool statesLimit = false;
    std::unique_ptr<Proxy> link;
    Endpoint advertisedEndpoint;
    /// The process was killed or is draining, and its replacement has not started.
    bool beingReplaced = false;
};

Soak::Soak(SoakOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_loopbackAddress(processLoopbackAddress())
    , m_processes(m_options.folder)
{
    for (int i = 0; i < organisationCount; ++i) {
        auto organisation = fmt::format("org{}", i);
        for (int k = 0; k < keysPerOrganisation; ++k) {
            auto key = fmt::format("key-{}-{}", i, k);
            m_keysByOrganisation[organisation].insert(key);
            m_record.organisationByKey[key] = organisation;
        }
    }
}

Soak::~Soak() = default;

/// Returns an address that is free for both TCP and UDP. Remembers allocated ports because the
/// kernel may offer a port again before the process that it was allocated to listens on it.
Endpoint Soak::allocateEndpoint()
{
    auto address = asio::ip::make_address(m_loopbackAddress);
    while (true) {
        asio::ip::tcp::acceptor acceptor(m_io, { address, 0 });
        auto port = acceptor.local_endpoint().port();
        asio::ip::udp::socket socket(m_io);
        boost::system::error_code error;
        socket.open(asio::ip::udp::v4(), error);
        socket.bind({ address, port }, error);
        if (!error && m_allocatedPorts.insert(port).second)
            return { .address = m_loopbackAddress, .port = port };
    }
}

Milliseconds Soak::randomDuration(int minMilliseconds, int maxMilliseconds)
{
    return Milliseconds(minMilliseconds + static_cast<int>(m_random() % static_cast<std::uint64_t>(maxMilliseconds - minMilliseconds)));
}

void Soak::recordDisturbance(const std::string& subject, SoakTime startedAt, SoakTime endedAt, bool planned)
{
    m_record.disturbances.push_back({ .subject = subject, .startedAt = startedAt, .endedAt = endedAt, .planned = planned });
}

Soak::Instance& Soak::randomInstance()
{
    return *m_instances[m_random() % m_instances.size()];
}

std::string Soak::configurationJson() const
{
    json routes = json::array();
    auto addRoute = [&](const std::string& path, const char* type, const char* service, int attempts) {
        routes.push_back({ { "name", "r" + path }, { "hostname", host }, { "path_prefix", path }, { "type", type }, { "service", service }, { "timeout_ms", 12000 }, { "goal_ms", 800 }, { "max_attempts", attempts }, { "priority", 1 } });
    };
    addRoute(streamPath, "streaming", modelService, 1);
    addRoute(orderPath, "unsafe", plainService, 1);
    addRoute(lookupPath, "safe", plainService, 2);
    for (const auto& path : m_addedPaths)
        addRoute(path, "safe", plainService, 2);
    json tenants = json::array();
    for (const auto& [organisation, keys] : m_keysByOrganisation)
        tenants.push_back({ { "name", organisation }, { "api_keys", keys } });
    json engine { { "slots", 16 }, { "kv_capacity", 60000 }, { "kv_bytes", 1000 }, { "bandwidth_mbps", 10000 }, { "migrations", true }, { "stride", 4 } };
    json services { { { "name", modelService }, { "engine", engine } }, { { "name", plainService } } };
    return json { { "version", m_configurationVersion }, { "routes", routes }, { "services", services }, { "tenants", tenants }, { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 1 << 20 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } }.dump();
}

Awaitable<> Soak::postToStore(std::string path, std::string body)
{
    HttpCall call { .endpoint = m_storeEndpoint, .method = "POST", .target = "/standin/" + path, .body = std::move(body), .timeout = Seconds(10) };
    co_await callHttp(std::move(call));
}

Awaitable<> Soak::publishConfiguration()
{
    ++m_configurationVersion;
    json put { { "key", "op/config" }, { "value", configurationJson() } };
    co_await postToStore("put", put.dump());
}

bool Soak::startInstance(Instance& instance)
{
    ++instance.incarnation;
    auto settings = m_options.folder + "/" + instance.name + ".json";
    return m_processes.start(instance.name, { m_options.program, "entry", "--settings", settings });
}

bool Soak::startEngine(ManagedEngine& engine)
{
    engine.id = fmt::format("e{}", ++m_lastEngineNumber);
    engine.requestLimit = 2 + static_cast<double>(m_random() % 60) / 10;
    engine.statesLimit = false;
    auto listenEndpoint = allocateEndpoint();
    engine.link->setTarget(listenEndpoint);
    return m_processes.start(engine.id, { m_options.soakProgram, "engine", "--id", engine.id, "--service", engine.generates ? modelService : plainService, "--zone", engine.failureDomain, "--listen", toString(listenEndpoint), "--announced", toString(engine.advertisedEndpoint), "--store", toString(m_storeEndpoint), "--records", m_options.folder + "/records", "--seed", std::to_string(m_random() % 100000), "--limit", fmt::format("{:.1f}", engine.requestLimit), engine.generates ? "--generates" : "--plain" });
}

bool Soak::startProcesses()
{
    std::filesystem::create_directories(m_options.folder);
    m_storeEndpoint = allocateEndpoint();
    bool started = m_processes.start("store", { m_options.soakProgram, "store", "--listen", toString(m_storeEndpoint) });
    for (int i = 0; i < m_options.engines; ++i) {
        auto engine = std::make_unique<ManagedEngine>();
        engine->failureDomain = fmt::format("d{}", i % 3);
        engine->generates = i % 3 != 2;
        engine->link = std::make_unique<Proxy>(m_io, Endpoint {});
        engine->advertisedEndpoint = engine->link->listen();
        started = startEngine(*engine) && started;
        m_engines.push_back(std::move(engine));
    }
    for (int i = 0; i < m_options.instances; ++i) {
        auto instance = std::make_unique<Instance>();
        instance->name = fmt::format("entry-{}", i);
        instance->failureDomain = fmt::format("d{}", i % 3);
        instance->callerEndpoint = allocateEndpoint();
        instance->readinessEndpoint = allocateEndpoint();
        instance->peerPort = allocateEndpoint().port;
        instance->storeLink = std::make_unique<Proxy>(m_io, m_storeEndpoint);
        json settings { { "node_name", instance->name }, { "zone", instance->failureDomain }, { "ip", m_loopbackAddress }, { "listen", { { "frontend", toString(instance->callerEndpoint) }, { "ready", toString(instance->readinessEndpoint) } } }, { "port_range", { instance->peerPort, instance->peerPort } }, { "limits", { { "cpu_quota", 0.25 }, { "cpu_cores", 1 } } }, { "bounds", { { "grace_s", stopTimeout.count() / 1000 }, { "revoke_ms", maxRevocationDelay.count() }, { "retry_ratio", 0.2 }, { "retry_slack", 50 }, { "retry_window_s", 10 } } }, { "platform", { { "address", toString(instance->storeLink->listen()) }, { "min_ttl_ms", 1000 } } } };
        std::ofstream(m_options.folder + "/" + instance->name + ".json") << settings.dump();
        started = startInstance(*instance) && started;
        m_instances.push_back(std::move(instance));
    }
    return started;
}

RequestSpec Soak::nextRequest(Random& random) const
{
    RequestSpec spec;
    auto key = std::next(m_record.organisationByKey.begin(), static_cast<std::ptrdiff_t>(random() % m_record.organisationByKey.size()));
    spec.apiKey = random() % 50 == 0 ? "unknown" : key->first;
    auto roll = random() % 10;
    if (roll < 3) {
        spec.type = RequestType::Stream;
        spec.path = streamPath;
        spec.eventCount = 5 + static_cast<int>(random() % 150);
    } else if (roll < 6) {
        spec.type = RequestType::Order;
        spec.path = orderPath;
    } else {
        spec.path = lookupPath;
        if (roll > 7 && !m_record.addedPaths.empty())
            spec.path = std::next(m_record.addedPaths.begin(), static_cast<std::ptrdiff_t>(random() % m_record.addedPaths.size()))->first;
    }
    return spec;
}

/// The next request that crashes engines. Its path, organisation and body stay the same for some time,
/// while the key and the stated output limit change.
RequestSpec Soak::nextCrashingRequest(Random& random) const
{
    // Once faults have ended, no further request crashes engines, so that callers must be served again.
    auto age = (m_injectingFaults ? soakNow() : m_faultInjectionEndedAt) - m_callersStartedAt;
    auto number = age / crashingRequestPeriod;
    RequestSpec spec;
    spec.type = number % 2 == 0 ? RequestType::Stream : RequestType::Lookup;
    spec.path = fmt::format("{}{}{}/", number % 2 == 0 ? streamPath : lookupPath, number % 4 == 2 ? silentCrashMarker : crashMarker, number);
    spec.apiKey = fmt::format("key-{}-{}", number % organisationCount, random() % keysPerOrganisation);
    spec.eventCount = 20;
    spec.outputTokenLimit = 80 + static_cast<int>(random() % 20);
    return spec;
}

InstanceEndpoint Soak::chooseEndpoint(Random& random) const
{
    const auto& instance = *m_instances[random() % m_instances.size()];
    return { .instance = instance.name, .incarnation = instance.incarnation, .endpoint = instance.callerEndpoint };
}

Awaitable<> Soak::restartEndedInstances()
{
    while (m_restartingInstances) {
        for (auto& instance : m_instances) {
            if (m_processes.isRunning(instance->name))
                continue;
            auto endedAt = soakNow();
            co_await sleepFor(restartDelay);
            startInstance(*instance);
            recordDisturbance(instance->name, endedAt, soakNow());
        }
        co_await sleepFor(Milliseconds(50));
    }
}

/// The engine states its limit for some seconds, or until its process is replaced.
Awaitable<> Soak::limitEngine(ManagedEngine& engine)
{
    ++m_faultCounts["limit stated by an engine"];
    engine.statesLimit = true;
    auto id = engine.id;
    auto requestLimit = engine.requestLimit;
    auto startedAt = soakNow();
    m_processes.signal(id, SIGUSR2);
    co_await sleepFor(randomDuration(7000, 14000));
    bool replaced = engine.id != id;
    if (!replaced) {
        engine.statesLimit = false;
        m_processes.signal(id, SIGUSR2);
    }
    m_record.statedLimits.push_back({ .engineId = id, .requestsPerSecond = requestLimit, .startedAt = startedAt, .endedAt = soakNow() });
}

/// At most one engine of each service states a limit, so that the service stays usable.
Awaitable<> Soak::limitEnginesPeriodically()
{
    while (m_injectingFaults) {
        auto& engine = *m_engines[m_random() % m_engines.size()];
        bool otherLimited = std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& other) { return other->generates == engine.generates && other->statesLimit; });
        if (!otherLimited && !engine.beingReplaced)
            asio::co_spawn(m_io, limitEngine(engine), asio::detached);
        co_await sleepFor(randomDuration(300, 1500));
    }
}

Awaitable<> Soak::replaceCrashedEngine(ManagedEngine& engine)
{
    ++m_faultCounts["engine crashed by a request"];
    engine.beingReplaced = true;
    co_await sleepFor(entryExpiryTime);
    recordDisturbance(enginesSubject, soakNow() - entryExpiryTime.count() - maxCrashDuration, soakNow());
    co_await replaceEngine(engine);
}

Awaitable<> Soak::replaceCrashedEngines()
{
    while (m_callersActive) {
        for (auto& engine : m_engines) {
            if (!engine->beingReplaced && !m_processes.isRunning(engine->id))
                asio::co_spawn(m_io, replaceCrashedEngine(*engine), asio::detached);
        }
        co_await sleepFor(Milliseconds(50));
    }
}

Awaitable<> Soak::stopInstance(Instance& instance)
{
    auto startedAt = soakNow();
    auto incarnation = instance.incarnation;
    m_processes.signal(instance.name, SIGTERM);
    while (instance.incarnation == incarnation && soakNow() < startedAt + stopTimeout.count())
        co_await sleepFor(Milliseconds(20));
    if (instance.incarnation == incarnation) {
        m_processes.signal(instance.name, SIGKILL);
        recordDisturbance(instance.name, soakNow(), soakNow());
    }
    recordDisturbance(instance.name, startedAt, soakNow(), true);
    instance.stopping = false;
}

Awaitable<> Soak::pauseProcess(std::string name, std::string subject)
{
    auto startedAt = soakNow();
    m_processes.signal(name, SIGSTOP);
    co_await sleepFor(randomDuration(200, 3500));
    m_processes.signal(name, SIGCONT);
    recordDisturbance(subject, startedAt, soakNow());
}

Awaitable<> Soak::injectLinkFault(Proxy& link, std::string subject)
{
    if (link.fault() != LinkFault::None)
        co_return;
    auto startedAt = soakNow();
    link.setFault(static_cast<LinkFault>(1 + m_random() % 4));
    co_await sleepFor(randomDuration(300, 4000));
    link.setFault(LinkFault::None);
    recordDisturbance(subject, startedAt, soakNow());
}

Awaitable<> Soak::injectStoreFault(std::string fault)
{
    auto startedAt = soakNow();
    co_await postToStore("faults", std::move(fault));
    co_await sleepFor(randomDuration(300, 5000));
    co_await postToStore("faults", "{}");
    recordDisturbance(storeSubject, startedAt, soakNow());
}

Awaitable<> Soak::replaceEngine(ManagedEngine& engine)
{
    json removal { { "key", "servers/" + engine.id } };
    co_await postToStore("remove", removal.dump());
    startEngine(engine);
    engine.beingReplaced = false;
}

Awaitable<> Soak::killEngine(ManagedEngine& engine)
{
    engine.beingReplaced = true;
    auto startedAt = soakNow();
    m_processes.signal(engine.id, SIGKILL);
    co_await sleepFor(entryExpiryTime);
    recordDisturbance(enginesSubject, startedAt, soakNow());
    co_await replaceEngine(engine);
}

Awaitable<> Soak::drainEngine(ManagedEngine& engine)
{
    engine.beingReplaced = true;
    m_processes.signal(engine.id, SIGUSR1);
    m_record.drainingEngines[engine.id] = soakNow() + drainPublishTime;
    co_await sleepFor(engineDrainTime);
    recordDisturbance(enginesSubject, soakNow(), soakNow());
    co_await replaceEngine(engine);
}

/// Adds or removes a path, or revokes a key. The change is recorded with the time of the store's
/// acknowledgement, from which its time limit counts.
Awaitable<> Soak::changeConfiguration()
{
    auto roll = m_random() % 4;
    auto organisation = fmt::format("org{}", m_random() % organisationCount);
    auto& keys = m_keysByOrganisation[organisation];
    if (roll == 0 && keys.size() > 1) {
        auto key = *keys.begin();
        keys.erase(key);
        co_await publishConfiguration();
        m_record.revokedKeys[key] = soakNow();
    } else if (roll == 1 && m_addedPaths.size() > 2) {
        auto path = m_addedPaths.front();
        m_addedPaths.erase(m_addedPaths.begin());
        co_await publishConfiguration();
        m_record.removedPaths[path] = soakNow();
    } else {
        auto path = fmt::format("/added{}/", ++m_lastPathNumber);
        m_addedPaths.push_back(path);
        co_await publishConfiguration();
        m_record.addedPaths[path] = soakNow();
    }
}

void Soak::startPlannedOperation()
{
    auto& instance = randomInstance();
    auto& engine = *m_engines[m_random() % m_engines.size()];
    switch (m_random() % 4) {
    case 0:
        if (instance.stopping)
            return;
        instance.stopping = true;
        ++m_faultCounts["instance stopped"];
        asio::co_spawn(m_io, stopInstance(instance), asio::detached);
        return;
    case 1:
        ++m_faultCounts["settings reloaded"];
        m_processes.signal(instance.name, SIGHUP);
        return;
    case 2:
        if (engine.beingReplaced)
            return;
        ++m_faultCounts["engine drained"];
        asio::co_spawn(m_io, drainEngine(engine), asio::detached);
        return;
    default:
        ++m_faultCounts["configuration changed"];
        asio::co_spawn(m_io, changeConfiguration(), asio::detached);
    }
}

void Soak::injectUnplannedFault()
{
    auto& instance = randomInstance();
    auto& engine = *m_engines[m_random() % m_engines.size()];
    switch (m_random() % 8) {
    case 0:
        ++m_faultCounts["instance killed"];
        recordDisturbance(instance.name, soakNow(), soakNow());
        m_processes.signal(instance.name, SIGKILL);
        return;
    case 1:
        ++m_faultCounts["instance paused"];
        asio::co_spawn(m_io, pauseProcess(instance.name, instance.name), asio::detached);
        return;
    case 2:
        if (engine.beingReplaced)
            return;
        ++m_faultCounts["engine killed"];
        asio::co_spawn(m_io, killEngine(engine), asio::detached);
        return;
    case 3:
        if (engine.beingReplaced)
            return;
        ++m_faultCounts["engine paused"];
        asio::co_spawn(m_io, pauseProcess(engine.id, enginesSubject), asio::detached);
        return;
    case 4:
        ++m_faultCounts["fault on the link to the store"];
        asio::co_spawn(m_io, injectLinkFault(*instance.storeLink, instance.name), asio::detached);
        return;
    case 5:
        ++m_faultCounts["fault on the link to an engine"];
        asio::co_spawn(m_io, injectLinkFault(*engine.link, enginesSubject), asio::detached);
        return;
    case 6:
        ++m_faultCounts["store paused"];
        asio::co_spawn(m_io, pauseProcess("store", storeSubject), asio::detached);
        return;
    default:
        static const std::vector<std::string> faults { R"({"silent":true})", R"({"refusing":true})", R"({"delay_ms":400})", R"({"lose_answers":5})" };
        ++m_faultCounts["store fault"];
        asio::co_spawn(m_io, injectStoreFault(faults[m_random() % faults.size()]), asio::detached);
    }
}

void Soak::injectFault()
{
    if (m_options.faults == "planned" || m_random() % 3 == 0)
        startPlannedOperation();
    else
        injectUnplannedFault();
}

/// Injects faults in bursts; faults may overlap.
Awaitable<> Soak::injectFaultsPeriodically()
{
    while (m_injectingFaults && m_options.faults != "none") {
        auto burstSize = 1 + m_random() % 3;
        for (std::uint64_t i = 0; i < burstSize; ++i)
            injectFault();
        co_await sleepFor(randomDuration(200, 1500));
    }
}

void Soak::startCaller(CallerOptions options)
{
    m_callers.push_back(std::make_unique<Caller>(m_io, std::move(options)));
    asio::co_spawn(m_io, m_callers.back()->run(), asio::detached);
}

Awaitable<> Soak::runScenario()
{
    co_await sleepFor(Milliseconds(300));
    co_await publishConfiguration();
    co_await sleepFor(startupTime);
    m_callersStartedAt = soakNow();
    auto chooseEndpointOf = [this](Random& random) { return chooseEndpoint(random); };
    auto shouldContinue = [this] { return m_callersActive; };
    for (int i = 0; i < m_options.callers; ++i)
        startCaller({ .name = fmt::format("c{}", i), .seed = m_options.seed * 1000 + static_cast<std::uint64_t>(i), .nextRequest = [this](Random& random) { return nextRequest(random); }, .chooseEndpoint = chooseEndpointOf, .shouldContinue = shouldContinue, .attempts = m_record.attempts });
    for (int i = 0; m_options.crashingRequests && i < crashingCallers; ++i)
        startCaller({ .name = fmt::format("x{}", i), .seed = m_options.seed * 1000 + 500 + static_cast<std::uint64_t>(i), .nextRequest = [this](Random& random) { return nextCrashingRequest(random); }, .chooseEndpoint = chooseEndpointOf, .shouldContinue = shouldContinue, .pauseBetweenRequests = pauseOfCrashingCallers, .attempts = m_record.attempts });
    asio::co_spawn(m_io, replaceCrashedEngines(), asio::detached);
    if (m_options.statedLimits)
        asio::co_spawn(m_io, limitEnginesPeriodically(), asio::detached);
    asio::co_spawn(m_io, restartEndedInstances(), asio::detached);
    asio::co_spawn(m_io, injectFaultsPeriodically(), asio::detached);
    co_await sleepFor(fromSeconds(m_options.faultSeconds));
    m_injectingFaults = false;
    m_faultInjectionEndedAt = soakNow();
    // The longest fault and the longest stop have ended after this time.
    co_await sleepFor(stopTimeout);
    m_record.faultsEndedAt = soakNow();
    co_await sleepFor(faultFreeTime);
    m_callersActive = false;
    co_await sleepFor(Milliseconds(2500));
    m_restartingInstances = false;
    co_await readRecordedUsage();
    m_io.stop();
}

/// Stops all instances first because each writes its remaining usage records when it stops.
Awaitable<> Soak::readRecordedUsage()
{
    for (const auto& instance : m_instances)
        m_processes.signal(instance->name, SIGTERM);
    auto deadline = soakNow() + stopTimeout.count();
    auto anyRunning = [this] { return std::any_of(m_instances.begin(), m_instances.end(), [this](const auto& instance) { return m_processes.isRunning(instance->name); }); };
    while (anyRunning() && soakNow() < deadline)
        co_await sleepFor(Milliseconds(50));
    platform::PlatformStore store(m_storeEndpoint);
    auto usage = co_await readUsage(store, platform::usagePrefix);
    if (!usage)
        co_return;
    for (const auto& [organisation, organisationUsage] : *usage)
        m_record.recordedRequests[organisation] = organisationUsage.requests;
    m_record.usageComplete = m_options.faults != "all";
}

std::vector<Violation> Soak::run()
{
    if (!startProcesses())
        return { { .guarantee = "all processes start", .evidence = m_options.folder } };
    asio::co_spawn(m_io, runScenario(), asio::detached);
    m_io.run();
    m_record.engineRecords = readEngineRecords(m_options.folder + "/records");
    return findViolations(m_record);
}

}
