#include "soak/faultinjector.h"

#include "soak/constants.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaspan::soak {

namespace {

    using nlohmann::json;

    constexpr auto restartDelay = Milliseconds(300);
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
    : m_io(io)
    , m_options(options)
    , m_deployment(deployment)
    , m_random(random)
    , m_record(record)
{
}

void FaultInjector::start()
{
    asio::co_spawn(m_io, replaceCrashedEngines(), asio::detached);
    if (m_options.statedLimits)
        asio::co_spawn(m_io, limitEnginesPeriodically(), asio::detached);
    if (m_options.pausingEngines)
        asio::co_spawn(m_io, pauseEnginesPeriodically(), asio::detached);
    if (m_options.greyEngines)
        asio::co_spawn(m_io, failRequestsPeriodically(), asio::detached);
    if (m_options.restoredStore)
        asio::co_spawn(m_io, restoreStorePeriodically(), asio::detached);
    if (m_options.evacuations)
        asio::co_spawn(m_io, evacuatePeriodically(), asio::detached);
    if (m_options.oddEntries)
        asio::co_spawn(m_io, writeOddEntriesPeriodically(), asio::detached);
    if (m_options.rolling)
        asio::co_spawn(m_io, stopInstancesPeriodically(), asio::detached);
    if (m_options.frozenStops)
        asio::co_spawn(m_io, freezeInstancesPeriodically(), asio::detached);
    asio::co_spawn(m_io, restartEndedInstances(), asio::detached);
    asio::co_spawn(m_io, injectFaultsPeriodically(), asio::detached);
}

Milliseconds FaultInjector::randomDuration(int minMilliseconds, int maxMilliseconds)
{
    return Milliseconds(minMilliseconds + static_cast<int>(m_random() % static_cast<std::uint64_t>(maxMilliseconds - minMilliseconds)));
}

void FaultInjector::recordDisturbance(const std::string& subject, SoakTime startedAt, SoakTime endedAt, bool planned)
{
    m_record.disturbances.push_back({ .subject = subject, .startedAt = startedAt, .endedAt = endedAt, .planned = planned });
}

Awaitable<> FaultInjector::restartEndedInstances()
{
    while (m_restarting) {
        for (auto& instance : m_deployment.instances()) {
            if (instance->restarting || m_deployment.processes().isRunning(instance->name))
                continue;
            instance->restarting = true;
            asio::co_spawn(m_io, restartInstance(*instance), asio::detached);
        }
        co_await sleepFor(Milliseconds(50));
    }
}

Awaitable<> FaultInjector::restartInstance(Deployment::Instance& instance)
{
    auto endedAt = soakNow();
    auto partOfStop = instance.stopping;
    co_await sleepFor(restartDelay);
    m_deployment.startInstance(instance);
    instance.restarting = false;
    m_record.disturbances.push_back({ .subject = instance.name, .startedAt = endedAt, .endedAt = soakNow(), .partOfStop = partOfStop });
}

/// The engine states its limit for some seconds, or until its process is replaced.
Awaitable<> FaultInjector::limitEngine(Deployment::ManagedEngine& engine)
{
    ++m_faultCounts["limit stated by an engine"];
    engine.statesLimit = true;
    auto id = engine.id;
    auto requestLimit = engine.requestLimit;
    auto startedAt = soakNow();
    m_deployment.processes().signal(id, SIGUSR2);
    co_await sleepFor(randomDuration(7000, 14000));
    bool replaced = engine.id != id;
    if (!replaced) {
        engine.statesLimit = false;
        m_deployment.processes().signal(id, SIGUSR2);
    }
    m_record.statedLimits.push_back({ .engineId = id, .requestsPerSecond = requestLimit, .startedAt = startedAt, .endedAt = soakNow() });
}

/// All engines of plain requests, or one, fail requests for some seconds. A replacement process starts without failures.
Awaitable<> FaultInjector::failRequestsPeriodically()
{
    while (m_injecting) {
        auto& chosenEngine = m_deployment.randomEngine();
        bool all = m_random() % 2 == 0;
        std::vector<std::string> failing;
        for (const auto& engine : m_deployment.engines()) {
            if (!engine->generates && !engine->beingReplaced && (all || engine.get() == &chosenEngine))
                failing.push_back(engine->id);
        }
        if (!failing.empty())
            ++m_faultCounts[all ? "all engines that fail requests" : "engine that fails requests"];
        for (const auto& id : failing)
            m_deployment.processes().signal(id, SIGHUP);
        auto period = randomDuration(2000, 8000);
        co_await sleepFor(period);
        for (const auto& id : failing)
            m_deployment.processes().signal(id, SIGHUP);
        period = randomDuration(200, 3000);
        co_await sleepFor(period);
    }
}

/// At most one engine of each service states a limit, so that the service stays usable.
Awaitable<> FaultInjector::limitEnginesPeriodically()
{
    while (m_injecting) {
        auto& engine = m_deployment.randomEngine();
        bool otherLimited = std::any_of(m_deployment.engines().begin(), m_deployment.engines().end(), [&](const auto& other) { return other->generates == engine.generates && other->statesLimit; });
        if (!otherLimited && !engine.beingReplaced)
            asio::co_spawn(m_io, limitEngine(engine), asio::detached);
        co_await sleepFor(randomDuration(300, 1500));
    }
}

Awaitable<> FaultInjector::replaceCrashedEngine(Deployment::ManagedEngine& engine)
{
    ++m_faultCounts["engine crashed by a request"];
    engine.beingReplaced = true;
    co_await sleepFor(entryExpiryTime);
    recordDisturbance(enginesSubject, soakNow() - entryExpiryTime.count() - maxCrashDuration, soakNow());
    co_await replaceEngine(engine);
}

Awaitable<> FaultInjector::replaceCrashedEngines()
{
    while (m_restarting) {
        for (auto& engine : m_deployment.engines()) {
            if (!engine->beingReplaced && !m_deployment.processes().isRunning(engine->id))
                asio::co_spawn(m_io, replaceCrashedEngine(*engine), asio::detached);
        }
        co_await sleepFor(Milliseconds(50));
    }
}

Awaitable<> FaultInjector::stopInstance(Deployment::Instance& instance)
{
    auto startedAt = soakNow();
    auto incarnation = instance.incarnation;
    m_deployment.processes().signal(instance.name, SIGTERM);
    m_record.plannedStops.push_back({ .instance = instance.name, .incarnation = incarnation, .signalledAt = startedAt });
    while (instance.incarnation == incarnation && soakNow() < startedAt + stopTimeout.count())
        co_await sleepFor(Milliseconds(20));
    if (instance.incarnation == incarnation && m_deployment.processes().signal(instance.name, SIGKILL)) {
        ++m_faultCounts["instance killed at the stop limit"];
        m_record.disturbances.push_back({ .subject = instance.name, .startedAt = soakNow(), .endedAt = soakNow(), .partOfStop = true });
    }
    while (instance.incarnation == incarnation && m_restarting)
        co_await sleepFor(Milliseconds(20));
    recordDisturbance(instance.name, startedAt, soakNow(), true);
    instance.stopping = false;
}

/// Starts a planned stop unless one is in progress.
bool FaultInjector::startStop(Deployment::Instance& instance)
{
    if (instance.stopping || instance.restarting || !m_injecting)
        return false;
    instance.stopping = true;
    ++m_faultCounts["instance stopped"];
    asio::co_spawn(m_io, stopInstance(instance), asio::detached);
    return true;
}

Awaitable<> FaultInjector::stopInstancesInTurn(Milliseconds interval)
{
    for (auto& instance : m_deployment.instances()) {
        if (!m_injecting)
            co_return;
        startStop(*instance);
        co_await sleepFor(interval);
    }
}

Awaitable<> FaultInjector::stopAgainAfterRestart(Deployment::Instance& instance)
{
    constexpr int stops = 3;
    for (int i = 0; i < stops && startStop(instance); ++i) {
        while (instance.stopping)
            co_await sleepFor(Milliseconds(20));
        auto pause = randomDuration(20, 400);
        co_await sleepFor(pause);
    }
}

Awaitable<> FaultInjector::signalDuringStop(Deployment::Instance& instance, int signalNumber)
{
    if (!startStop(instance))
        co_return;
    auto incarnation = instance.incarnation;
    auto delay = randomDuration(10, 3000);
    co_await sleepFor(delay);
    if (instance.incarnation != incarnation || instance.restarting)
        co_return;
    ++m_faultCounts[signalNumber == SIGHUP ? "settings reloaded during a stop" : "stop signal repeated"];
    m_deployment.processes().signal(instance.name, signalNumber);
}

Awaitable<> FaultInjector::freezeInstancesPeriodically()
{
    while (m_injecting) {
        asio::co_spawn(m_io, freezeAroundStop(m_deployment.randomInstance()), asio::detached);
        auto pause = randomDuration(300, 3000);
        co_await sleepFor(pause);
    }
}

/// SIGTERM comes at any time of a standstill, or just after it.
Awaitable<> FaultInjector::freezeAroundStop(Deployment::Instance& instance)
{
    if (instance.stopping || instance.restarting || !m_injecting)
        co_return;
    ++m_faultCounts["instance frozen around a stop"];
    auto incarnation = instance.incarnation;
    auto startedAt = soakNow();
    auto timeUntilSignal = randomDuration(0, 4000);
    auto timeAfterSignal = randomDuration(-200, 2000);
    m_deployment.processes().signal(instance.name, SIGSTOP);
    co_await sleepFor(timeUntilSignal);
    bool signalledLater = timeAfterSignal.count() < 0;
    if (!signalledLater)
        startStop(instance);
    co_await sleepFor(std::max(Milliseconds(0), timeAfterSignal));
    if (instance.incarnation == incarnation)
        m_deployment.processes().signal(instance.name, SIGCONT);
    recordDisturbance(instance.name, startedAt, soakNow());
    if (!signalledLater)
        co_return;
    co_await sleepFor(-timeAfterSignal);
    startStop(instance);
}

Awaitable<> FaultInjector::silenceStoreDuringStop()
{
    startStop(m_deployment.randomInstance());
    ++m_faultCounts["store silent during a stop"];
    co_await injectStoreFault(R"({"silent":true})");
}

/// Restarts all instances in turn or at once, or one several times; the operations may overlap.
Awaitable<> FaultInjector::stopInstancesPeriodically()
{
    constexpr std::array<std::pair<int, int>, 3> intervalRanges { { { 10, 300 }, { 300, 3000 }, { 3000, 9000 } } };
    while (m_injecting) {
        auto& instance = m_deployment.randomInstance();
        const auto& [minInterval, maxInterval] = intervalRanges[m_random() % intervalRanges.size()];
        auto interval = randomDuration(minInterval, maxInterval);
        switch (m_random() % 6) {
        case 0:
        case 1:
            ++m_faultCounts["instances stopped in turn"];
            co_await stopInstancesInTurn(interval);
            break;
        case 2:
            ++m_faultCounts["instances stopped at once"];
            co_await stopInstancesInTurn(Milliseconds(0));
            break;
        case 3:
            asio::co_spawn(m_io, stopAgainAfterRestart(instance), asio::detached);
            break;
        case 4:
            asio::co_spawn(m_io, signalDuringStop(instance, m_options.repeatedSignals ? SIGTERM : SIGHUP), asio::detached);
            break;
        default:
            if (m_options.silentStore)
                asio::co_spawn(m_io, silenceStoreDuringStop(), asio::detached);
            else
                startStop(instance);
        }
        auto pause = randomDuration(200, 3000);
        co_await sleepFor(pause);
    }
}

/// A sound engine may be silent for a second, so this is no disturbance.
Awaitable<> FaultInjector::pauseEnginesPeriodically()
{
    while (m_injecting) {
        auto id = m_deployment.randomEngine().id;
        ++m_faultCounts["engine silent for a second"];
        m_deployment.processes().signal(id, SIGSTOP);
        co_await sleepFor(Milliseconds(1000));
        m_deployment.processes().signal(id, SIGCONT);
        auto pause = randomDuration(500, 2000);
        co_await sleepFor(pause);
    }
}

Awaitable<> FaultInjector::pauseProcess(std::string name, std::string subject)
{
    auto startedAt = soakNow();
    m_deployment.processes().signal(name, SIGSTOP);
    co_await sleepFor(randomDuration(200, 3500));
    m_deployment.processes().signal(name, SIGCONT);
    recordDisturbance(subject, startedAt, soakNow());
}

Awaitable<> FaultInjector::injectLinkFault(Proxy& link, std::string subject)
{
    if (link.fault() != LinkFault::None)
        co_return;
    auto startedAt = soakNow();
    link.setFault(static_cast<LinkFault>(1 + m_random() % 4));
    co_await sleepFor(randomDuration(300, 4000));
    link.setFault(LinkFault::None);
    recordDisturbance(subject, startedAt, soakNow());
}

Awaitable<> FaultInjector::injectStoreFault(std::string fault)
{
    auto startedAt = soakNow();
    co_await m_deployment.postToStore("faults", std::move(fault));
    co_await sleepFor(randomDuration(300, 5000));
    co_await m_deployment.postToStore("faults", "{}");
    recordDisturbance(storeSubject, startedAt, soakNow());
}

/// The store is away for a moment and loses its last seconds. The operator writes again soon, engines do so by themselves, and
/// entries of engines that have ended expire again.
Awaitable<> FaultInjector::restoreStore()
{
    ++m_faultCounts["store restored from a copy"];
    auto startedAt = soakNow();
    std::string absence = m_random() % 2 == 0 ? R"({"silent":true})" : R"({"refusing":true})";
    co_await m_deployment.postToStore("faults", std::move(absence));
    auto absenceDuration = randomDuration(50, 1500);
    co_await sleepFor(absenceDuration);
    auto restoration = json { { "age_ms", randomDuration(300, 5000).count() } }.dump();
    co_await m_deployment.postToStore("restore", std::move(restoration));
    co_await m_deployment.postToStore("faults", "{}");
    auto operatorDelay = randomDuration(0, 1000);
    co_await sleepFor(operatorDelay);
    co_await m_deployment.publishConfigurationAgain();
    co_await m_deployment.writeEvacuationsAgain();
    co_await sleepFor(entryExpiryTime);
    co_await m_deployment.removeEngineEntriesAgain();
    recordDisturbance(storeSubject, startedAt, soakNow());
}

Awaitable<> FaultInjector::restoreStorePeriodically()
{
    while (m_injecting) {
        co_await restoreStore();
        auto pause = randomDuration(500, 8000);
        co_await sleepFor(pause);
    }
}

/// An evacuation is no disturbance: what it takes away are targets only, and at times all of them.
Awaitable<> FaultInjector::evacuate(std::string failureDomain)
{
    ++m_faultCounts["failure domain evacuated"];
    bool acknowledged = co_await m_deployment.startEvacuation(failureDomain);
    auto acknowledgedAt = soakNow();
    auto endsAt = acknowledgedAt + randomDuration(500, 12000).count();
    while (m_injecting && soakNow() < endsAt)
        co_await sleepFor(Milliseconds(50));
    if (acknowledged)
        m_record.evacuations.push_back({ .failureDomain = failureDomain, .acknowledgedAt = acknowledgedAt, .endedAt = soakNow() });
    co_await m_deployment.endEvacuation(failureDomain);
}

/// Two domains may be evacuated at once, and one again while it already is.
Awaitable<> FaultInjector::evacuatePeriodically()
{
    while (m_injecting) {
        auto failureDomain = m_deployment.randomEngine().failureDomain;
        if (m_random() % 3 == 0) {
            co_await m_deployment.startEvacuation(failureDomain);
            auto second = m_deployment.randomEngine().failureDomain;
            if (second != failureDomain)
                co_await evacuate(std::move(second));
        }
        co_await evacuate(std::move(failureDomain));
        auto pause = randomDuration(200, 4000);
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
    auto choice = m_random() % (oddFields.size() + 2);
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
    while (m_injecting) {
        ++m_faultCounts["odd entry"];
        json put { { "key", fmt::format("servers/odd-{}", m_random() % keys) }, { "value", oddEntry() } };
        co_await m_deployment.postToStore("put", put.dump());
        auto pause = randomDuration(100, 800);
        co_await sleepFor(pause);
    }
}

Awaitable<> FaultInjector::replaceEngine(Deployment::ManagedEngine& engine)
{
    auto id = engine.id;
    co_await m_deployment.removeEngineEntry(id);
    m_deployment.startEngine(engine);
    engine.beingReplaced = false;
}

Awaitable<> FaultInjector::killEngine(Deployment::ManagedEngine& engine)
{
    engine.beingReplaced = true;
    auto startedAt = soakNow();
    m_deployment.processes().signal(engine.id, SIGKILL);
    co_await sleepFor(entryExpiryTime);
    recordDisturbance(enginesSubject, startedAt, soakNow());
    co_await replaceEngine(engine);
}

Awaitable<> FaultInjector::drainEngine(Deployment::ManagedEngine& engine)
{
    engine.beingReplaced = true;
    m_deployment.processes().signal(engine.id, SIGUSR1);
    m_record.drainingEngines[engine.id] = soakNow() + drainPublishTime;
    co_await sleepFor(engineDrainTime);
    recordDisturbance(enginesSubject, soakNow(), soakNow());
    co_await replaceEngine(engine);
}

void FaultInjector::startPlannedOperation()
{
    auto& instance = m_deployment.randomInstance();
    auto& engine = m_deployment.randomEngine();
    switch (m_random() % 4) {
    case 0:
        startStop(instance);
        return;
    case 1:
        ++m_faultCounts["settings reloaded"];
        m_deployment.processes().signal(instance.name, SIGHUP);
        return;
    case 2:
        if (engine.beingReplaced)
            return;
        ++m_faultCounts["engine drained"];
        asio::co_spawn(m_io, drainEngine(engine), asio::detached);
        return;
    default:
        ++m_faultCounts["configuration changed"];
        asio::co_spawn(m_io, m_deployment.changeConfiguration(), asio::detached);
    }
}

void FaultInjector::injectUnplannedFault()
{
    auto& instance = m_deployment.randomInstance();
    auto& engine = m_deployment.randomEngine();
    switch (m_random() % 8) {
    case 0:
        ++m_faultCounts["instance killed"];
        recordDisturbance(instance.name, soakNow(), soakNow());
        m_deployment.processes().signal(instance.name, SIGKILL);
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

void FaultInjector::injectFault()
{
    if (m_options.faults == "planned" || m_random() % 3 == 0)
        startPlannedOperation();
    else
        injectUnplannedFault();
}

/// Injects faults in bursts; faults may overlap.
Awaitable<> FaultInjector::injectFaultsPeriodically()
{
    while (m_injecting && m_options.faults != "none") {
        auto burstSize = 1 + m_random() % 3;
        for (std::uint64_t i = 0; i < burstSize; ++i)
            injectFault();
        co_await sleepFor(randomDuration(200, 1500));
    }
}

}
