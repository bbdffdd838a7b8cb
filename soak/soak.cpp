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

    constexpr auto calmTime = Milliseconds(10000);
    constexpr auto startTime = Milliseconds(2500);
    constexpr auto restartPause = Milliseconds(300);
    /// Entries of engines lapse after three of their announcements.
    constexpr auto lapseTime = Milliseconds(1500);
    constexpr auto leaveTime = Milliseconds(3800);
    /// Announcements of leaving reach the store in this time.
    constexpr SoakTime announceTime = 300;
    constexpr int organisations = 3;
    constexpr int keysEach = 3;
    constexpr const char* modelService = "model";
    constexpr const char* plainService = "shop";

    /// A loopback address of this run alone, so that runs side by side share no ports.
    std::string ownAddress()
    {
        auto id = static_cast<unsigned>(::getpid());
        return fmt::format("127.{}.{}.{}", 1 + (id >> 16) % 250, (id >> 8) % 256, 1 + id % 254);
    }

}

struct Soak::Instance {
    std::string name;
    std::string failureDomain;
    Endpoint callers;
    Endpoint readiness;
    std::uint16_t peers = 0;
    std::unique_ptr<Proxy> storeLink;
    int life = 0;
    /// Something is being done to it.
    bool busy = false;
};

struct Soak::EngineSlot {
    std::string id;
    std::string failureDomain;
    bool generates = true;
    std::unique_ptr<Proxy> link;
    Endpoint announced;
    bool busy = false;
};

Soak::Soak(SoakOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_address(ownAddress())
    , m_processes(m_options.folder)
{
    for (int i = 0; i < organisations; ++i) {
        auto organisation = fmt::format("org{}", i);
        for (int k = 0; k < keysEach; ++k) {
            auto key = fmt::format("key-{}-{}", i, k);
            m_keys[organisation].insert(key);
            m_record.organisationOfKey[key] = organisation;
        }
    }
}

Soak::~Soak() = default;

/// An address that is free for both protocols. The kernel may offer a port again that
/// was given to a process which does not listen yet.
Endpoint Soak::freeEndpoint()
{
    auto address = asio::ip::make_address(m_address);
    while (true) {
        asio::ip::tcp::acceptor acceptor(m_io, { address, 0 });
        auto port = acceptor.local_endpoint().port();
        asio::ip::udp::socket socket(m_io);
        boost::system::error_code error;
        socket.open(asio::ip::udp::v4(), error);
        socket.bind({ address, port }, error);
        if (!error && m_givenPorts.insert(port).second)
            return { .address = m_address, .port = port };
    }
}

Milliseconds Soak::between(int low, int high)
{
    return Milliseconds(low + static_cast<int>(m_random() % static_cast<std::uint64_t>(high - low)));
}

void Soak::disturb(const std::string& subject, SoakTime from, SoakTime to, bool planned)
{
    m_record.disturbances.push_back({ .subject = subject, .from = from, .to = to, .planned = planned });
}

Soak::Instance& Soak::pickInstance()
{
    return *m_instances[m_random() % m_instances.size()];
}

std::string Soak::configurationJson() const
{
    json routes = json::array();
    auto add = [&](const std::string& path, const char* type, const char* service, int attempts) {
        routes.push_back({ { "name", "r" + path }, { "hostname", host }, { "path_prefix", path }, { "type", type }, { "service", service }, { "timeout_ms", 12000 }, { "goal_ms", 800 }, { "max_attempts", attempts }, { "priority", 1 } });
    };
    add(streamPath, "streaming", modelService, 1);
    add(orderPath, "unsafe", plainService, 1);
    add(lookupPath, "safe", plainService, 2);
    for (const auto& path : m_paths)
        add(path, "safe", plainService, 2);
    json tenants = json::array();
    for (const auto& [organisation, keys] : m_keys)
        tenants.push_back({ { "name", organisation }, { "api_keys", keys } });
    json engine { { "slots", 16 }, { "kv_capacity", 60000 }, { "kv_bytes", 1000 }, { "bandwidth_mbps", 10000 }, { "migrations", true }, { "stride", 4 } };
    json services { { { "name", modelService }, { "engine", engine } }, { { "name", plainService } } };
    return json { { "version", m_version }, { "routes", routes }, { "services", services }, { "tenants", tenants }, { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 1 << 20 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } }.dump();
}

Awaitable<> Soak::control(std::string path, std::string body)
{
    HttpCall call { .endpoint = m_store, .method = "POST", .target = "/standin/" + path, .body = std::move(body), .timeout = Seconds(10) };
    co_await callHttp(std::move(call));
}

Awaitable<> Soak::publishConfiguration()
{
    ++m_version;
    json put { { "key", "op/config" }, { "value", configurationJson() } };
    co_await control("put", put.dump());
}

bool Soak::startInstance(Instance& instance)
{
    ++instance.life;
    auto settings = m_options.folder + "/" + instance.name + ".json";
    return m_processes.start(instance.name, { m_options.program, "entry", "--settings", settings });
}

bool Soak::startEngine(EngineSlot& slot)
{
    slot.id = fmt::format("e{}", ++m_lastEngine);
    auto own = freeEndpoint();
    slot.link->setTarget(own);
    return m_processes.start(slot.id, { m_options.self, "engine", "--id", slot.id, "--service", slot.generates ? modelService : plainService, "--zone", slot.failureDomain, "--listen", toString(own), "--announced", toString(slot.announced), "--store", toString(m_store), "--records", m_options.folder + "/records", "--seed", std::to_string(m_random() % 100000), slot.generates ? "--generates" : "--plain" });
}

bool Soak::startAll()
{
    std::filesystem::create_directories(m_options.folder);
    m_store = freeEndpoint();
    bool started = m_processes.start("store", { m_options.self, "store", "--listen", toString(m_store) });
    for (int i = 0; i < m_options.engines; ++i) {
        auto slot = std::make_unique<EngineSlot>();
        slot->failureDomain = fmt::format("d{}", i % 3);
        slot->generates = i % 3 != 2;
        slot->link = std::make_unique<Proxy>(m_io, Endpoint {});
        slot->announced = slot->link->listen();
        started = startEngine(*slot) && started;
        m_engines.push_back(std::move(slot));
    }
    for (int i = 0; i < m_options.instances; ++i) {
        auto instance = std::make_unique<Instance>();
        instance->name = fmt::format("entry-{}", i);
        instance->failureDomain = fmt::format("d{}", i % 3);
        instance->callers = freeEndpoint();
        instance->readiness = freeEndpoint();
        instance->peers = freeEndpoint().port;
        instance->storeLink = std::make_unique<Proxy>(m_io, m_store);
        json settings { { "node_name", instance->name }, { "zone", instance->failureDomain }, { "ip", m_address }, { "listen", { { "frontend", toString(instance->callers) }, { "ready", toString(instance->readiness) } } }, { "port_range", { instance->peers, instance->peers } }, { "limits", { { "cpu_quota", 0.25 }, { "cpu_cores", 1 } } }, { "bounds", { { "grace_s", stopLimit.count() / 1000 }, { "revoke_ms", revocationBound.count() }, { "retry_ratio", 0.2 }, { "retry_slack", 50 }, { "retry_window_s", 10 } } }, { "platform", { { "address", toString(instance->storeLink->listen()) }, { "min_ttl_ms", 1000 } } } };
        std::ofstream(m_options.folder + "/" + instance->name + ".json") << settings.dump();
        started = startInstance(*instance) && started;
        m_instances.push_back(std::move(instance));
    }
    return started;
}

Wish Soak::wish(Random& random) const
{
    Wish wish;
    auto key = std::next(m_record.organisationOfKey.begin(), static_cast<std::ptrdiff_t>(random() % m_record.organisationOfKey.size()));
    wish.key = random() % 50 == 0 ? "unknown" : key->first;
    auto drawn = random() % 10;
    if (drawn < 3) {
        wish.kind = RequestKind::Stream;
        wish.path = streamPath;
        wish.pieces = 5 + static_cast<int>(random() % 150);
    } else if (drawn < 6) {
        wish.kind = RequestKind::Order;
        wish.path = orderPath;
    } else {
        wish.path = lookupPath;
        if (drawn > 7 && !m_record.addedPaths.empty())
            wish.path = std::next(m_record.addedPaths.begin(), static_cast<std::ptrdiff_t>(random() % m_record.addedPaths.size()))->first;
    }
    return wish;
}

Entrance Soak::entrance(Random& random) const
{
    const auto& instance = *m_instances[random() % m_instances.size()];
    return { .instance = instance.name, .life = instance.life, .endpoint = instance.callers };
}

Awaitable<> Soak::supervise()
{
    while (m_going) {
        for (auto& instance : m_instances) {
            if (m_processes.running(instance->name))
                continue;
            auto endedAt = soakNow();
            co_await sleepFor(restartPause);
            startInstance(*instance);
            disturb(instance->name, endedAt, soakNow());
        }
        co_await sleepFor(Milliseconds(50));
    }
}

Awaitable<> Soak::stopInstance(Instance& instance)
{
    auto from = soakNow();
    auto life = instance.life;
    m_processes.signal(instance.name, SIGTERM);
    while (instance.life == life && soakNow() < from + stopLimit.count())
        co_await sleepFor(Milliseconds(20));
    if (instance.life == life) {
        m_processes.signal(instance.name, SIGKILL);
        disturb(instance.name, soakNow(), soakNow());
    }
    disturb(instance.name, from, soakNow(), true);
    instance.busy = false;
}

Awaitable<> Soak::pauseProcess(std::string name, std::string subject)
{
    auto from = soakNow();
    m_processes.signal(name, SIGSTOP);
    co_await sleepFor(between(200, 3500));
    m_processes.signal(name, SIGCONT);
    disturb(subject, from, soakNow());
}

Awaitable<> Soak::harmLink(Proxy& link, std::string subject)
{
    if (link.fault() != LinkFault::None)
        co_return;
    auto from = soakNow();
    link.setFault(static_cast<LinkFault>(1 + m_random() % 4));
    co_await sleepFor(between(300, 4000));
    link.setFault(LinkFault::None);
    disturb(subject, from, soakNow());
}

Awaitable<> Soak::harmStore(std::string fault)
{
    auto from = soakNow();
    co_await control("faults", std::move(fault));
    co_await sleepFor(between(300, 5000));
    co_await control("faults", "{}");
    disturb(storeSubject, from, soakNow());
}

Awaitable<> Soak::replaceEngine(EngineSlot& slot)
{
    json gone { { "key", "servers/" + slot.id } };
    co_await control("remove", gone.dump());
    startEngine(slot);
    slot.busy = false;
}

Awaitable<> Soak::killEngine(EngineSlot& slot)
{
    slot.busy = true;
    auto from = soakNow();
    m_processes.signal(slot.id, SIGKILL);
    co_await sleepFor(lapseTime);
    disturb(enginesSubject, from, soakNow());
    co_await replaceEngine(slot);
}

Awaitable<> Soak::leaveEngine(EngineSlot& slot)
{
    slot.busy = true;
    m_processes.signal(slot.id, SIGUSR1);
    m_record.leavingEngines[slot.id] = soakNow() + announceTime;
    co_await sleepFor(leaveTime);
    disturb(enginesSubject, soakNow(), soakNow());
    co_await replaceEngine(slot);
}

/// Adds or removes a path, or takes a key away; each counts from the store's acknowledgement.
Awaitable<> Soak::changeConfiguration()
{
    auto drawn = m_random() % 4;
    auto organisation = fmt::format("org{}", m_random() % organisations);
    auto& keys = m_keys[organisation];
    if (drawn == 0 && keys.size() > 1) {
        auto key = *keys.begin();
        keys.erase(key);
        co_await publishConfiguration();
        m_record.revokedKeys[key] = soakNow();
    } else if (drawn == 1 && m_paths.size() > 2) {
        auto path = m_paths.front();
        m_paths.erase(m_paths.begin());
        co_await publishConfiguration();
        m_record.removedPaths[path] = soakNow();
    } else {
        auto path = fmt::format("/added{}/", ++m_lastPath);
        m_paths.push_back(path);
        co_await publishConfiguration();
        m_record.addedPaths[path] = soakNow();
    }
}

void Soak::strikePlanned()
{
    auto& instance = pickInstance();
    auto& slot = *m_engines[m_random() % m_engines.size()];
    switch (m_random() % 4) {
    case 0:
        if (instance.busy)
            return;
        instance.busy = true;
        ++m_faultCounts["instance stops"];
        asio::co_spawn(m_io, stopInstance(instance), asio::detached);
        return;
    case 1:
        ++m_faultCounts["settings change"];
        m_processes.signal(instance.name, SIGHUP);
        return;
    case 2:
        if (slot.busy)
            return;
        ++m_faultCounts["engine leaves"];
        asio::co_spawn(m_io, leaveEngine(slot), asio::detached);
        return;
    default:
        ++m_faultCounts["configuration changes"];
        asio::co_spawn(m_io, changeConfiguration(), asio::detached);
    }
}

void Soak::strikeUnplanned()
{
    auto& instance = pickInstance();
    auto& slot = *m_engines[m_random() % m_engines.size()];
    switch (m_random() % 8) {
    case 0:
        ++m_faultCounts["instance killed"];
        disturb(instance.name, soakNow(), soakNow());
        m_processes.signal(instance.name, SIGKILL);
        return;
    case 1:
        ++m_faultCounts["instance paused"];
        asio::co_spawn(m_io, pauseProcess(instance.name, instance.name), asio::detached);
        return;
    case 2:
        if (slot.busy)
            return;
        ++m_faultCounts["engine killed"];
        asio::co_spawn(m_io, killEngine(slot), asio::detached);
        return;
    case 3:
        if (slot.busy)
            return;
        ++m_faultCounts["engine paused"];
        asio::co_spawn(m_io, pauseProcess(slot.id, enginesSubject), asio::detached);
        return;
    case 4:
        ++m_faultCounts["link to the store harmed"];
        asio::co_spawn(m_io, harmLink(*instance.storeLink, instance.name), asio::detached);
        return;
    case 5:
        ++m_faultCounts["link to an engine harmed"];
        asio::co_spawn(m_io, harmLink(*slot.link, enginesSubject), asio::detached);
        return;
    case 6:
        ++m_faultCounts["store paused"];
        asio::co_spawn(m_io, pauseProcess("store", storeSubject), asio::detached);
        return;
    default:
        static const std::vector<std::string> faults { R"({"silent":true})", R"({"refusing":true})", R"({"delay_ms":400})", R"({"lose_answers":5})" };
        ++m_faultCounts["store fails"];
        asio::co_spawn(m_io, harmStore(faults[m_random() % faults.size()]), asio::detached);
    }
}

void Soak::strike()
{
    if (m_options.faults == "planned" || m_random() % 3 == 0)
        strikePlanned();
    else
        strikeUnplanned();
}

/// Faults come in series and overlap.
Awaitable<> Soak::strikeRepeatedly()
{
    while (m_striking && m_options.faults != "none") {
        auto series = 1 + m_random() % 3;
        for (std::uint64_t i = 0; i < series; ++i)
            strike();
        co_await sleepFor(between(200, 1500));
    }
}

Awaitable<> Soak::wholeRun()
{
    co_await sleepFor(Milliseconds(300));
    co_await publishConfiguration();
    co_await sleepFor(startTime);
    for (int i = 0; i < m_options.callers; ++i) {
        CallerOptions options { .name = fmt::format("c{}", i), .seed = m_options.seed * 1000 + static_cast<std::uint64_t>(i), .wish = [this](Random& random) { return wish(random); }, .entrance = [this](Random& random) { return entrance(random); }, .goesOn = [this] { return m_calling; }, .attempts = m_record.attempts };
        m_callers.push_back(std::make_unique<Caller>(m_io, std::move(options)));
        asio::co_spawn(m_io, m_callers.back()->run(), asio::detached);
    }
    asio::co_spawn(m_io, supervise(), asio::detached);
    asio::co_spawn(m_io, strikeRepeatedly(), asio::detached);
    co_await sleepFor(fromSeconds(m_options.seconds));
    m_striking = false;
    // The longest fault and the longest stop are over after this.
    co_await sleepFor(stopLimit);
    m_record.calmSince = soakNow();
    co_await sleepFor(calmTime);
    m_calling = false;
    co_await sleepFor(Milliseconds(2500));
    m_going = false;
    co_await readBills();
    m_io.stop();
}

/// Stopping instances put their last use on record.
Awaitable<> Soak::readBills()
{
    for (const auto& instance : m_instances)
        m_processes.signal(instance->name, SIGTERM);
    auto until = soakNow() + stopLimit.count();
    auto someRun = [this] { return std::any_of(m_instances.begin(), m_instances.end(), [this](const auto& each) { return m_processes.running(each->name); }); };
    while (someRun() && soakNow() < until)
        co_await sleepFor(Milliseconds(50));
    platform::PlatformStore store(m_store);
    auto usage = co_await readUsage(store, platform::usagePrefix);
    if (!usage)
        co_return;
    for (const auto& [organisation, used] : *usage)
        m_record.billedRequests[organisation] = used.requests;
    m_record.recordsComplete = m_options.faults != "all";
}

std::vector<Violation> Soak::run()
{
    if (!startAll())
        return { { .promise = "the processes start", .evidence = m_options.folder } };
    asio::co_spawn(m_io, wholeRun(), asio::detached);
    m_io.run();
    m_record.engineRecords = readEngineRecords(m_options.folder + "/records");
    return findViolations(m_record);
}

}
