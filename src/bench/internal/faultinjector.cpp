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

const std::string& FaultInjector::pick(const std::vector<std::string>& from)
{
    return from[m_random() % from.size()];
}

Clock::duration FaultInjector::between(int lowMs, int highMs)
{
    return Milliseconds(lowMs + static_cast<int>(m_random() % static_cast<std::uint64_t>(highMs - lowMs)));
}

void FaultInjector::signal(const std::string& pidFile, int number)
{
    std::ifstream file(pidFile);
    pid_t pid = 0;
    if (!(file >> pid) || pid <= 1)
        return;
    // A second request to stop means to stop at once, which is another fault.
    bool repeatedStop = number == SIGTERM && !m_stopping.insert(pid).second;
    if (!repeatedStop)
        ::kill(pid, number);
}

Awaitable<> FaultInjector::setFault(std::string address, std::string json)
{
    HttpCall call { .endpoint = *parseEndpoint(address), .method = "POST", .target = "/faults", .body = std::move(json), .timeout = Seconds(2) };
    co_await callHttp(std::move(call));
}

Awaitable<> FaultInjector::withFault(std::string address, std::string on, std::string off, Clock::duration duration)
{
    co_await setFault(address, on);
    co_await sleepFor(duration);
    co_await setFault(address, off);
}

Awaitable<> FaultInjector::pause(std::string pidFile, Clock::duration duration)
{
    signal(pidFile, SIGSTOP);
    co_await sleepFor(duration);
    signal(pidFile, SIGCONT);
}

Awaitable<> FaultInjector::strike()
{
    struct Kind {
        const char* name;
        std::function<Awaitable<>()> run;
    };
    const std::vector<Kind> kinds {
        { "instance killed", [this]() -> Awaitable<> { signal(pick(m_options.instancePidFiles), SIGKILL); co_return; } },
        { "instance stopped gracefully", [this]() -> Awaitable<> { signal(pick(m_options.instancePidFiles), SIGTERM); co_return; } },
        { "instance paused", [this] { return pause(pick(m_options.instancePidFiles), between(300, 4000)); } },
        { "engines killed", [this]() -> Awaitable<> { signal(pick(m_options.enginePidFiles), SIGKILL); co_return; } },
        { "engines paused", [this] { return pause(pick(m_options.enginePidFiles), between(300, 3000)); } },
        { "engine stalled", [this] { return withFault(pick(m_options.engines), R"({"stalled":true})", R"({"stalled":false})", between(500, 4000)); } },
        { "engine cuts streams", [this] { return withFault(pick(m_options.engines), R"({"cut_after_events":5})", R"({"cut_after_events":0})", between(500, 3000)); } },
        { "engine slow", [this] { return withFault(pick(m_options.engines), R"({"slow_factor":8})", R"({"slow_factor":1})", between(500, 4000)); } },
        { "engine refuses new work", [this] { return withFault(pick(m_options.engines), R"({"refuse_new":true})", R"({"refuse_new":false})", between(500, 3000)); } },
        { "cache events lost", [this] { return withFault(pick(m_options.engines), R"({"lose_cache_events":true})", R"({"lose_cache_events":false})", between(500, 3000)); } },
        { "key-value service down", [this] { return withFault(m_options.platform, R"({"outage":true})", R"({"outage":false})", between(500, 8000)); } },
        { "key-value service slow", [this] { return withFault(m_options.platform, R"({"delay_ms":700})", R"({"delay_ms":0})", between(500, 5000)); } },
        { "key-value answers lost", [this] { return setFault(m_options.platform, R"({"lose_answers":4})"); } },
        { "plain service slow", [this] { return withFault(m_options.plain, R"({"delay_ms":1500})", R"({"delay_ms":0})", between(500, 2000)); } },
        { "plain service answers lost", [this] { return setFault(m_options.plain, R"({"lose_answers":2})"); } },
    };
    std::vector<const Kind*> wanted;
    for (const auto& kind : kinds) {
        if (m_options.faults == "all" || std::string(kind.name).find(m_options.faults) != std::string::npos)
            wanted.push_back(&kind);
    }
    if (wanted.empty())
        co_return;
    const auto& kind = *wanted[m_random() % wanted.size()];
    m_report.fault(kind.name);
    co_await kind.run();
}

Awaitable<> FaultInjector::run(TimePoint end)
{
    while (Clock::now() < end && m_options.faults != "none") {
        asio::co_spawn(m_context, strike(), asio::detached);
        co_await sleepFor(between(200, 1200));
    }
}

Awaitable<> FaultInjector::calm()
{
    for (const auto& file : m_options.instancePidFiles)
        signal(file, SIGCONT);
    for (const auto& file : m_options.enginePidFiles)
        signal(file, SIGCONT);
    for (const auto& engine : m_options.engines)
        co_await setFault(engine, R"({"stalled":false,"slow_factor":1,"cut_after_events":0,"refuse_new":false,"lose_cache_events":false})");
    co_await setFault(m_options.platform, R"({"outage":false,"delay_ms":0,"lose_answers":0})");
    co_await setFault(m_options.plain, "{}");
}

}
