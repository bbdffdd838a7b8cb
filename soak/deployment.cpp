#include "soak/deployment.h"

#include "net/httpclient.h"
#include "soak/constants.h"

#include <boost/asio/ip/udp.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace guavaspan::soak {

namespace {

    using nlohmann::json;

    constexpr const char* modelService = "model";

    /// Derives a loopback address from the process id so that concurrent runs share no ports.
    std::string processLoopbackAddress()
    {
        auto pid = static_cast<unsigned>(::getpid());
        return fmt::format("127.{}.{}.{}", 1 + (pid >> 16) % 250, (pid >> 8) % 256, 1 + pid % 254);
    }

}

Deployment::Deployment(asio::io_context& io, const SoakOptions& options, Random& random, SoakRecord& record)
    : m_io(io)
    , m_options(options)
    , m_random(random)
    , m_record(record)
    , m_loopbackAddress(processLoopbackAddress())
    , m_processes(options.folder)
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

/// Returns an address that is free for both TCP and UDP. Remembers allocated ports because the
/// kernel may offer a port again before the process that it was allocated to listens on it.
Endpoint Deployment::allocateEndpoint()
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

std::string Deployment::configurationJson() const
{
    json routes = json::array();
    auto addRoute = [&](const std::string& path, const char* type, const char* service, int attempts) {
        routes.push_back({ { "name", "r" + path }, { "hostname", host }, { "path_prefix", path }, { "type", type }, { "service", service }, { "timeout_ms", 12000 }, { "goal_ms", 800 }, { "max_attempts", attempts }, { "priority", 1 } });
    };
    addRoute(streamPath, "streaming", modelService, 1);
    addRoute(orderPath, "unsafe", plainService, 1);
    addRoute(lookupPath, "safe", plainService, maxAttemptsOfLookups);
    for (const auto& path : m_addedPaths)
        addRoute(path, "safe", plainService, maxAttemptsOfLookups);
    json tenants = json::array();
    for (const auto& [organisation, keys] : m_keysByOrganisation)
        tenants.push_back({ { "name", organisation }, { "api_keys", keys } });
    json engine { { "slots", 16 }, { "kv_capacity", 60000 }, { "kv_bytes", 1000 }, { "bandwidth_mbps", 10000 }, { "migrations", true }, { "stride", 4 } };
    json services { { { "name", modelService }, { "engine", engine } }, { { "name", plainService } } };
    return json { { "version", m_configurationVersion }, { "routes", routes }, { "services", services }, { "tenants", tenants }, { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 1 << 20 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } }.dump();
}

Awaitable<bool> Deployment::postToStore(std::string path, std::string body)
{
    HttpCall call { .endpoint = m_storeEndpoint, .method = "POST", .target = "/standin/" + path, .body = std::move(body), .timeout = Seconds(10) };
    auto response = co_await callHttp(std::move(call));
    co_return response && response->result_int() == 200;
}

Awaitable<bool> Deployment::startEvacuation(const std::string& failureDomain)
{
    m_evacuations[failureDomain] = true;
    json put { { "key", "op/evacuate/" + failureDomain }, { "value", "{}" } };
    co_return co_await postToStore("put", put.dump());
}

Awaitable<> Deployment::endEvacuation(const std::string& failureDomain)
{
    m_evacuations[failureDomain] = false;
    json removal { { "key", "op/evacuate/" + failureDomain } };
    while (!co_await postToStore("remove", removal.dump()))
        co_await sleepFor(Milliseconds(100));
}

Awaitable<> Deployment::writeEvacuationsAgain()
{
    for (const auto& [failureDomain, inForce] : std::map(m_evacuations)) {
        json change { { "key", "op/evacuate/" + failureDomain }, { "value", "{}" } };
        co_await postToStore(inForce ? "put" : "remove", change.dump());
    }
}

Awaitable<> Deployment::publishConfiguration()
{
    ++m_configurationVersion;
    co_await publishConfigurationAgain();
}

Awaitable<> Deployment::publishConfigurationAgain()
{
    json put { { "key", "op/config" }, { "value", configurationJson() } };
    co_await postToStore("put", put.dump());
}

Awaitable<> Deployment::removeEngineEntry(const std::string& id)
{
    m_removedEngines.push_back(id);
    json removal { { "key", "servers/" + id } };
    co_await postToStore("remove", removal.dump());
}

Awaitable<> Deployment::removeEngineEntriesAgain()
{
    for (const auto& id : std::vector(m_removedEngines)) {
        json removal { { "key", "servers/" + id } };
        co_await postToStore("remove", removal.dump());
    }
}

/// Adds or removes a path, or revokes a key. The change is recorded with the time of the store's
/// acknowledgement, from which its time limit counts.
Awaitable<> Deployment::changeConfiguration()
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

bool Deployment::startInstance(Instance& instance)
{
    ++instance.incarnation;
    auto settings = m_options.folder + "/" + instance.name + ".json";
    const auto& program = instance.incarnation == 1 && !m_options.previousProgram.empty() ? m_options.previousProgram : m_options.program;
    return m_processes.start(instance.name, { program, "entry", "--settings", settings });
}

bool Deployment::startEngine(ManagedEngine& engine)
{
    engine.id = fmt::format("e{}", ++m_lastEngineNumber);
    engine.requestLimit = 2 + static_cast<double>(m_random() % 60) / 10;
    engine.statesLimit = false;
    m_record.domainByEngine[engine.id] = engine.failureDomain;
    auto listenEndpoint = allocateEndpoint();
    engine.link->setTarget(listenEndpoint);
    std::vector<std::string> command { m_options.soakProgram, "engine", "--id", engine.id, "--service", engine.generates ? modelService : plainService, "--zone", engine.failureDomain, "--listen", toString(listenEndpoint), "--announced", toString(engine.advertisedEndpoint), "--store", toString(m_storeEndpoint), "--records", m_options.folder + "/records", "--seed", std::to_string(m_random() % 100000), "--limit", fmt::format("{:.1f}", engine.requestLimit), engine.generates ? "--generates" : "--plain" };
    if (m_options.brittleEngines && !engine.generates)
        command.push_back("--brittle");
    return m_processes.start(engine.id, command);
}

bool Deployment::start()
{
    std::filesystem::create_directories(m_options.folder);
    m_storeEndpoint = allocateEndpoint();
    bool started = m_processes.start("store", { m_options.soakProgram, "store", "--listen", toString(m_storeEndpoint) });
    for (int i = 0; i < m_options.engines; ++i) {
        auto engine = std::make_unique<ManagedEngine>();
        // Each evacuated domain has engines of both services, so that others remain.
        engine->failureDomain = fmt::format("d{}", (m_options.evacuations ? i / 3 : i) % 3);
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
        json settings { { "node_name", instance->name }, { "zone", instance->failureDomain }, { "ip", m_loopbackAddress }, { "listen", { { "frontend", toString(instance->callerEndpoint) }, { "ready", toString(instance->readinessEndpoint) } } }, { "port_range", { instance->peerPort, instance->peerPort } }, { "limits", { { "cpu_quota", 0.25 }, { "cpu_cores", 1 } } }, { "bounds", { { "grace_s", stopTimeout.count() / 1000 }, { "revoke_ms", maxRevocationDelay.count() }, { "retry_ratio", retryRatio }, { "retry_slack", retrySlack }, { "retry_window_s", retryWindow.count() / 1000 } } }, { "platform", { { "address", toString(instance->storeLink->listen()) }, { "min_ttl_ms", 1000 } } } };
        std::ofstream(m_options.folder + "/" + instance->name + ".json") << settings.dump();
        started = startInstance(*instance) && started;
        m_instances.push_back(std::move(instance));
    }
    return started;
}

Deployment::Instance& Deployment::randomInstance()
{
    return *m_instances[m_random() % m_instances.size()];
}

InstanceEndpoint Deployment::chooseEndpoint(Random& random) const
{
    const auto& instance = *m_instances[random() % m_instances.size()];
    return { .instance = instance.name, .incarnation = instance.incarnation, .endpoint = instance.callerEndpoint };
}

Deployment::ManagedEngine& Deployment::randomEngine()
{
    return *m_engines[m_random() % m_engines.size()];
}

}
