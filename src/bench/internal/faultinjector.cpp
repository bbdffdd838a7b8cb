#include "bench/internal/faultinjector.h"

#include "net/httpclient.h"

#include <csignal>
#include <fstream>

namespace guavaspan::bench {

FaultInjector::FaultInjector(asio::io_context& context, const PromisesOptions& options, PromisesReport& report, Random random)
    : m_context(context)
    , m_options(options)
    , m_report(report)
    , m_random(random)
{
}

const std::string& FaultInjector::pickRandom(const std::vector<std::string>& candidates)
{
    return candidates[m_random() % candidates.size()];
}

Clock::duration FaultInjector::randomDuration(int lowMs, int highMs)
{
    return Milliseconds(lowMs + static_cast<int>(m_random() % static_cast<std::uint64_t>(highMs - lowMs)));
}

void FaultInjector::sendSignal(const std::string& pidFile, int signalNumber)
{
    std::ifstream pidStream(pidFile);
    pid_t pid = 0;
    if (!(pidStream >> pid) || pid <= 1)
        return;
    // A second SIGTERM makes a process exit immediately, which would be a different fault.
    bool repeatedStop = signalNumber == SIGTERM && !m_terminatingPids.insert(pid).second;
    if (!repeatedStop)
        ::kill(pid, signalNumber);
}

Awaitable<> FaultInjector::setFaults(std::string address, std::string faultsJson)
{
    HttpCall call { .endpoint = *parseEndpoint(address), .method = "POST", .target = "/faults", .body = std::move(faultsJson), .timeout = Seconds(2) };
    co_await callHttp(std::move(call));
}

Awaitable<> FaultInjector::injectTemporarily(std::string address, std::string faultsJson, std::string resetJson, Clock::duration duration)
{
    co_await setFaults(address, faultsJson);
    co_await sleepFor(duration);
    co_await setFaults(address, resetJson);
}

Awaitable<> FaultInjector::pauseProcess(std::string pidFile, Clock::duration duration)
{
    sendSignal(pidFile, SIGSTOP);
    co_await sleepFor(duration);
    sendSignal(pidFile, SIGCONT);
}

Awaitable<> FaultInjector::injectFault()
{
    struct FaultType {
        const char* name;
        std::function<Awaitable<>()> inject;
    };
    const std::vector<FaultType> faultTypes {
        { "instance killed", [this]() -> Awaitable<> { sendSignal(pickRandom(m_options.instancePidFiles), SIGKILL); co_return; } },
        { "instance stopped gracefully", [this]() -> Awaitable<> { sendSignal(pickRandom(m_options.instancePidFiles), SIGTERM); co_return; } },
        { "instance paused", [this] { return pauseProcess(pickRandom(m_options.instancePidFiles), randomDuration(300, 4000)); } },
        { "engines killed", [this]() -> Awaitable<> { sendSignal(pickRandom(m_options.enginePidFiles), SIGKILL); co_return; } },
        { "engines paused", [this] { return pauseProcess(pickRandom(m_options.enginePidFiles), randomDuration(300, 3000)); } },
        { "engine stalled", [this] { return injectTemporarily(pickRandom(m_options.engines), R"({"stalled":true})", R"({"stalled":false})", randomDuration(500, 4000)); } },
        { "engine cuts streams", [this] { return injectTemporarily(pickRandom(m_options.engines), R"({"cut_after_events":5})", R"({"cut_after_events":0})", randomDuration(500, 3000)); } },
        { "engine slow", [this] { return injectTemporarily(pickRandom(m_options.engines), R"({"slow_factor":8})", R"({"slow_factor":1})", randomDuration(500, 4000)); } },
        { "engine refuses new work", [this] { return injectTemporarily(pickRandom(m_options.engines), R"({"refuse_new":true})", R"({"refuse_new":false})", randomDuration(500, 3000)); } },
        { "cache events lost", [this] { return injectTemporarily(pickRandom(m_options.engines), R"({"lose_cache_events":true})", R"({"lose_cache_events":false})", randomDuration(500, 3000)); } },
        { "key-value service down", [this] { return injectTemporarily(m_options.platformAddress, R"({"outage":true})", R"({"outage":false})", randomDuration(500, 8000)); } },
        { "key-value service slow", [this] { return injectTemporarily(m_options.platformAddress, R"({"delay_ms":700})", R"({"delay_ms":0})", randomDuration(500, 5000)); } },
        { "key-value answers lost", [this] { return setFaults(m_options.platformAddress, R"({"lose_answers":4})"); } },
        { "plain service slow", [this] { return injectTemporarily(m_options.plainServiceAddress, R"({"delay_ms":1500})", R"({"delay_ms":0})", randomDuration(500, 2000)); } },
        { "plain service answers lost", [this] { return setFaults(m_options.plainServiceAddress, R"({"lose_answers":2})"); } },
    };
    std::vector<const FaultType*> selected;
    for (const auto& faultType : faultTypes) {
        if (m_options.faultFilter == "all" || std::string(faultType.name).find(m_options.faultFilter) != std::string::npos)
            selected.push_back(&faultType);
    }
    if (selected.empty())
        co_return;
    const auto& faultType = *selected[m_random() % selected.size()];
    m_report.countFault(faultType.name);
    co_await faultType.inject();
}

Awaitable<> FaultInjector::run(TimePoint end)
{
    while (Clock::now() < end && m_options.faultFilter != "none") {
        asio::co_spawn(m_context, injectFault(), asio::detached);
        co_await sleepFor(randomDuration(200, 1200));
    }
}

Awaitable<> FaultInjector::clearFaults()
{
    for (const auto& pidFile : m_options.instancePidFiles)
        sendSignal(pidFile, SIGCONT);
    for (const auto& pidFile : m_options.enginePidFiles)
        sendSignal(pidFile, SIGCONT);
    for (const auto& engine : m_options.engines)
        co_await setFaults(engine, R"({"stalled":false,"slow_factor":1,"cut_after_events":0,"refuse_new":false,"lose_cache_events":false})");
    co_await setFaults(m_options.platformAddress, R"({"outage":false,"delay_ms":0,"lose_answers":0})");
    co_await setFaults(m_options.plainServiceAddress, "{}");
}

}
