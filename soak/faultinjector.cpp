#include "soak/faultinjector.h"

#include "soak/constants.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaspan::soak {

namespace {

    using nlohmann::json;

    /// Time after which the entry of an ended engine counts as expired: three publish intervals of 500 ms.
    constexpr auto entryExpiryTime = Milliseconds(1500);
    /// Longer than an engine process keeps serving while it drains.
    constexpr auto engineDrainTime = Milliseconds(3800);
    /// Time within which an engine's draining state reaches the store.
    constexpr SoakTime drainPublishTime = 300;
    /// Longest time from a crash to the end of the engine's process, with the time to notice it.
    constexpr SoakTime maxCrashDuration = 5500;

}

FaultInjector::FaultInjector(asio::io_context& io, const SoakOptions& options, Deployment& deployment, Random& random, SoakRecord& record)
    : m_context { .io = io, .options = options, .deployment = deployment, .random = random, .record = record }
    , m_instanceFaults(m_context, [this] { return silenceStoreDuringStop(); })
{
}

void FaultInjector::start()
{
    asio::co_spawn(m_context.io, replaceCrashedEngines(), asio::detached);
    if (m_context.options.statedLimits)
        asio::co_spawn(m_context.io, limitEnginesPeriodically(), asio::detached);
    if (m_context.options.pausingEngines)
        asio::co_spawn(m_context.io, pauseEnginesPeriodically(), asio::detached);
    if (m_context.options.greyEngines)
        asio::co_spawn(m_context.io, failRequestsPeriodically(), asio::detached);
    if (m_context.options.restoredStore)
        asio::co_spawn(m_context.io, restoreStorePeriodically(), asio::detached);
    if (m_context.options.evacuations)
        asio::co_spawn(m_context.io, evacuatePeriodically(), asio::detached);
    if (m_context.options.oddEntries)
        asio::co_spawn(m_context.io, writeOddEntriesPeriodically(), asio::detached);
    if (m_context.options.rolling)
        asio::co_spawn(m_context.io, m_instanceFaults.stopInstancesPeriodically(), asio::detached);
    if (m_context.options.frozenStops)
        asio::co_spawn(m_context.io, m_instanceFaults.freezeInstancesPeriodically(), asio::detached);
    asio::co_spawn(m_context.io, m_instanceFaults.restartEndedInstances(), asio::detached);
    asio::co_spawn(m_context.io, injectFaultsPeriodically(), asio::detached);
}

/// The engine states its limit for some seconds, or until its process is replaced.
Awaitable<> FaultInjector::limitEngine(Deployment::ManagedEngine& engine)
{
    ++m_context.counts["limit stated by an engine"];
    engine.statesLimit = true;
    auto id = engine.id;
    auto requestLimit = engine.requestLimit;
    auto startedAt = soakNow();
    m_context.deployment.processes().signal(id, SIGUSR2);
    co_await sleepFor(m_context.randomDuration(7000, 14000));
    bool replaced = engine.id != id;
    if (!replaced) {
        engine.statesLimit = false;
        m_context.deployment.processes().signal(id, SIGUSR2);
    }
    m_context.record.statedLimits.push_back({ .engineId = id, .requestsPerSecond = requestLimit, .startedAt = startedAt, .endedAt = soakNow() });
}

/// All engines of plain requests, or one, fail requests for some seconds. A replacement process starts without failures.
Awaitable<> FaultInjector::failRequestsPeriodically()
{
    while (m_context.injecting) {
        auto& chosenEngine = m_context.deployment.randomEngine();
        bool all = m_context.random() % 2 == 0;
        std::vector<std::string> failing;
        for (const auto& engine : m_context.deployment.engines()) {
            if (!engine->generates && !engine->beingReplaced && (all || engine.get() == &chosenEngine))
                failing.push_back(engine->id);
        }
        if (!failing.empty())
            ++m_context.counts[all ? "all engines that fail requests" : "engine that fails requests"];
        for (const auto& id : failing)
            m_context.deployment.processes().signal(id, SIGHUP);
        auto period = m_context.randomDuration(2000, 8000);
        co_await sleepFor(period);
        for (const auto& id : failing)
            m_context.deployment.processes().signal(id, SIGHUP);
        period = m_context.randomDuration(200, 3000);
        co_await sleepFor(period);
    }
}

/// At most one engine of each service states a limit, so that the service stays usable.
Awaitable<> FaultInjector::limitEnginesPeriodically()
{
    while (m_context.injecting) {
        auto& engine = m_context.deployment.randomEngine();
        bool otherLimited = std::any_of(m_context.deployment.engines().begin(), m_context.deployment.engines().end(), [&](const auto& other) { return other->generates == engine.generates && other->statesLimit; });
        if (!otherLimited && !engine.beingReplaced)
            asio::co_spawn(m_context.io, limitEngine(engine), asio::detached);
        co_await sleepFor(m_context.randomDuration(300, 1500));
    }
}

Awaitable<> FaultInjector::replaceCrashedEngine(Deployment::ManagedEngine& engine)
{
    ++m_context.counts["engine crashed by a request"];
    engine.beingReplaced = true;
    co_await sleepFor(entryExpiryTime);
    m_context.recordDisturbance(enginesSubject, soakNow() - entryExpiryTime.count() - maxCrashDuration, soakNow());
    co_await replaceEngine(engine);
}

Awaitable<> FaultInjector::replaceCrashedEngines()
{
    while (m_context.restarting) {
        for (auto& engine : m_context.deployment.engines()) {
            if (!engine->beingReplaced && !m_context.deployment.processes().isRunning(engine->id))
                asio::co_spawn(m_context.io, replaceCrashedEngine(*engine), asio::detached);
        }
        co_await sleepFor(Milliseconds(50));
    }
}

/// A sound engine may be silent for a second, so this is no disturbance.
Awaitable<> FaultInjector::pauseEnginesPeriodically()
{
    while (m_context.injecting) {
        auto id = m_context.deployment.randomEngine().id;
        ++m_context.counts["engine silent for a second"];
        m_context.deployment.processes().signal(id, SIGSTOP);
        co_await sleepFor(Milliseconds(1000));
        m_context.deployment.processes().signal(id, SIGCONT);
        auto pause = m_context.randomDuration(500, 2000);
        co_await sleepFor(pause);
    }
}

Awaitable<> FaultInjector::pauseProcess(std::string name, std::string subject)
{
    auto startedAt = soakNow();
    m_context.deployment.processes().signal(name, SIGSTOP);
    co_await sleepFor(m_context.randomDuration(200, 3500));
    m_context.deployment.processes().signal(name, SIGCONT);
    m_context.recordDisturbance(subject, startedAt, soakNow());
}

Awaitable<> FaultInjector::injectLinkFault(Proxy& link, std::string subject)
{
    if (link.fault() != LinkFault::None)
        co_return;
    auto startedAt = soakNow();
    link.setFault(static_cast<LinkFault>(1 + m_context.random() % 4));
    co_await sleepFor(m_context.randomDuration(300, 4000));
    link.setFault(LinkFault::None);
    m_context.recordDisturbance(subject, startedAt, soakNow());
}

Awaitable<> FaultInjector::injectStoreFault(std::string fault)
{
    auto startedAt = soakNow();
    co_await m_context.deployment.postToStore("faults", std::move(fault));
    co_await sleepFor(m_context.randomDuration(300, 5000));
    co_await m_context.deployment.postToStore("faults", "{}");
    m_context.recordDisturbance(storeSubject, startedAt, soakNow());
}

Awaitable<> FaultInjector::silenceStoreDuringStop()
{
    ++m_context.counts["store silent during a stop"];
    co_await injectStoreFault(R"({"silent":true})");
}

/// The store is away for a moment and loses its last seconds. The operator writes again soon, engines do so by themselves, and
/// entries of engines that have ended expire again.
Awaitable<> FaultInjector::restoreStore()
{
    ++m_context.counts["store restored from a copy"];
    auto startedAt = soakNow();
    std::string absence = m_context.random() % 2 == 0 ? R"({"silent":true})" : R"({"refusing":true})";
    co_await m_context.deployment.postToStore("faults", std::move(absence));
    auto absenceDuration = m_context.randomDuration(50, 1500);
    co_await sleepFor(absenceDuration);
    auto restoration = json { { "age_ms", m_context.randomDuration(300, 5000).count() } }.dump();
    co_await m_context.deployment.postToStore("restore", std::move(restoration));
    co_await m_context.deployment.postToStore("faults", "{}");
    auto operatorDelay = m_context.randomDuration(0, 1000);
    co_await sleepFor(operatorDelay);
    co_await m_context.deployment.publishConfigurationAgain();
    co_await m_context.deployment.writeEvacuationsAgain();
    co_await sleepFor(entryExpiryTime);
    co_await m_context.deployment.removeEngineEntriesAgain();
    m_context.recordDisturbance(storeSubject, startedAt, soakNow());
}

Awaitable<> FaultInjector::restoreStorePeriodically()
{
    while (m_context.injecting) {
        co_await restoreStore();
        auto pause = m_context.randomDuration(500, 8000);
        co_await sleepFor(pause);
    }
}

/// An evacuation is no disturbance: what it takes away are targets only, and at times all of them.
Awaitable<> FaultInjector::evacuate(std::string failureDomain)
{
    ++m_context.counts["failure domain evacuated"];
    bool acknowledged = co_await m_context.deployment.startEvacuation(failureDomain);
    auto acknowledgedAt = soakNow();
    auto endsAt = acknowledgedAt + m_context.randomDuration(500, 12000).count();
    while (m_context.injecting && soakNow() < endsAt)
        co_await sleepFor(Milliseconds(50));
    if (acknowledged)
        m_context.record.evacuations.push_back({ .failureDomain = failureDomain, .acknowledgedAt = acknowledgedAt, .endedAt = soakNow() });
    co_await m_context.deployment.endEvacuation(failureDomain);
}

/// Two domains may be evacuated at once, and one again while it already is.
Awaitable<> FaultInjector::evacuatePeriodically()
{
    while (m_context.injecting) {
        auto failureDomain = m_context.deployment.randomEngine().failureDomain;
        if (m_context.random() % 3 == 0) {
            co_await m_context.deployment.startEvacuation(failureDomain);
            auto second = m_context.deployment.randomEngine().failureDomain;
            if (second != failureDomain)
                co_await evacuate(std::move(second));
        }
        co_await evacuate(std::move(failureDomain));
        auto pause = m_context.randomDuration(200, 4000);
        co_await sleepFor(pause);
    }
}

/// The entries look like those of an engine at an address that nobody listens on, with one field that no engine writes.
std::string FaultInjector::oddEntry()
{
    constexpr std::size_t nestedLevels = 100000;
    auto nested = std::string(nestedLevels, '[') + std::string(nestedLevels, ']');
    json entry { { "service", plainService }, { "address", "127.0.0.1:1" }, { "zone", "d1" }, { "version", 1 }, { "slots", 16 }, { "state", "ready" }, { "cold_remaining_ms", 0 }, { "born", 1 }, { "sequence", 0 } };
    const std::vector<std::pair<std::string, json>> oddFields { { "address", "127.0.0.1:70000" }, { "address", "127.0.0.1:0" }, { "address", 1 }, { "slots", 1e300 }, { "slots", -5 }, { "slots", true }, { "born", 1e30 }, { "sequence", -1 }, { "cold_remaining_ms", 1e300 }, { "state", "odd" }, { "zone", nullptr } };
    auto choice = m_context.random() % (oddFields.size() + 2);
    if (choice == oddFields.size())
        return nested;
    if (choice > oddFields.size()) {
        entry.erase("slots");
        return entry.dump();
    }
    entry[oddFields[choice].first] = oddFields[choice].second;
    return entry.dump();
}

Awaitable<> FaultInjector::writeOddEntriesPeriodically()
{
    constexpr int keys = 8;
    while (m_context.injecting) {
        ++m_context.counts["odd entry"];
        json put { { "key", fmt::format("servers/odd-{}", m_context.random() % keys) }, { "value", oddEntry() } };
        co_await m_context.deployment.postToStore("put", put.dump());
        auto pause = m_context.randomDuration(100, 800);
        co_await sleepFor(pause);
    }
}

Awaitable<> FaultInjector::replaceEngine(Deployment::ManagedEngine& engine)
{
    auto id = engine.id;
    co_await m_context.deployment.removeEngineEntry(id);
    m_context.deployment.startEngine(engine);
    engine.beingReplaced = false;
}

Awaitable<> FaultInjector::killEngine(Deployment::ManagedEngine& engine)
{
    engine.beingReplaced = true;
    auto startedAt = soakNow();
    m_context.deployment.processes().signal(engine.id, SIGKILL);
    co_await sleepFor(entryExpiryTime);
    m_context.recordDisturbance(enginesSubject, startedAt, soakNow());
    co_await replaceEngine(engine);
}

Awaitable<> FaultInjector::drainEngine(Deployment::ManagedEngine& engine)
{
    engine.beingReplaced = true;
    m_context.deployment.processes().signal(engine.id, SIGUSR1);
    m_context.record.drainingEngines[engine.id] = soakNow() + drainPublishTime;
    co_await sleepFor(engineDrainTime);
    m_context.recordDisturbance(enginesSubject, soakNow(), soakNow());
    co_await replaceEngine(engine);
}

void FaultInjector::startPlannedOperation()
{
    auto& instance = m_context.deployment.randomInstance();
    auto& engine = m_context.deployment.randomEngine();
    switch (m_context.random() % 4) {
    case 0:
        m_instanceFaults.startStop(instance);
        return;
    case 1:
        ++m_context.counts["settings reloaded"];
        m_context.deployment.processes().signal(instance.name, SIGHUP);
        return;
    case 2:
        if (engine.beingReplaced)
            return;
        ++m_context.counts["engine drained"];
        asio::co_spawn(m_context.io, drainEngine(engine), asio::detached);
        return;
    default:
        ++m_context.counts["configuration changed"];
        asio::co_spawn(m_context.io, m_context.deployment.changeConfiguration(), asio::detached);
    }
}

void FaultInjector::injectUnplannedFault()
{
    auto& instance = m_context.deployment.randomInstance();
    auto& engine = m_context.deployment.randomEngine();
    switch (m_context.random() % 8) {
    case 0:
        ++m_context.counts["instance killed"];
        m_context.recordDisturbance(instance.name, soakNow(), soakNow());
        m_context.deployment.processes().signal(instance.name, SIGKILL);
        return;
    case 1:
        ++m_context.counts["instance paused"];
        asio::co_spawn(m_context.io, pauseProcess(instance.name, instance.name), asio::detached);
        return;
    case 2:
        if (engine.beingReplaced)
            return;
        ++m_context.counts["engine killed"];
        asio::co_spawn(m_context.io, killEngine(engine), asio::detached);
        return;
    case 3:
        if (engine.beingReplaced)
            return;
        ++m_context.counts["engine paused"];
        asio::co_spawn(m_context.io, pauseProcess(engine.id, enginesSubject), asio::detached);
        return;
    case 4:
        ++m_context.counts["fault on the link to the store"];
        asio::co_spawn(m_context.io, injectLinkFault(*instance.storeLink, instance.name), asio::detached);
        return;
    case 5:
        ++m_context.counts["fault on the link to an engine"];
        asio::co_spawn(m_context.io, injectLinkFault(*engine.link, enginesSubject), asio::detached);
        return;
    case 6:
        ++m_context.counts["store paused"];
        asio::co_spawn(m_context.io, pauseProcess("store", storeSubject), asio::detached);
        return;
    default:
        static const std::vector<std::string> faults { R"({"silent":true})", R"({"refusing":true})", R"({"delay_ms":400})", R"({"lose_answers":5})" };
        ++m_context.counts["store fault"];
        asio::co_spawn(m_context.io, injectStoreFault(faults[m_context.random() % faults.size()]), asio::detached);
    }
}

void FaultInjector::injectFault()
{
    if (m_context.options.faults == "planned" || m_context.random() % 3 == 0)
        startPlannedOperation();
    else
        injectUnplannedFault();
}

/// Injects faults in bursts; faults may overlap.
Awaitable<> FaultInjector::injectFaultsPeriodically()
{
    while (m_context.injecting && m_context.options.faults != "none") {
        auto burstSize = 1 + m_context.random() % 3;
        for (std::uint64_t i = 0; i < burstSize; ++i)
            injectFault();
        co_await sleepFor(m_context.randomDuration(200, 1500));
    }
}

}
