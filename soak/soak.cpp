#include "soak/soak.h"

#include "platform/names.h"
#include "platform/platformstore.h"
#include "soak/constants.h"
#include "soak/crashtrigger.h"
#include "usage/usagewriter.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>

namespace guavaspan::soak {

namespace {

    constexpr auto faultFreeTime = Milliseconds(10000);
    constexpr auto startupTime = Milliseconds(2500);
    /// Time after which callers send another request that crashes engines instead of the previous one.
    constexpr SoakTime crashingRequestPeriod = 9000;
    /// Time for which engines may answer a request before it crashes them.
    constexpr SoakTime timeOfAnswersBeforeCrashes = 2000;
    constexpr int callersOfPopularRequest = 3;
    constexpr auto pauseOfPopularCallers = Milliseconds(10);
    constexpr int crashingPromptCallers = 2;
    constexpr auto pauseOfCrashingCallers = Milliseconds(250);
    constexpr int idleCallersPerCaller = 3;
    constexpr auto maxPauseOfIdleCallers = Milliseconds(12000);
    constexpr auto pauseOfLoadingCallers = Milliseconds(10);
    constexpr std::size_t largeResponseBytes = 100000;
    constexpr auto timeoutOfSlowCallers = Milliseconds(4000);
    /// Longer than the longest response that a caller may still read.
    constexpr auto lastResponseTime = Milliseconds(2500);
    constexpr auto lastSlowResponseTime = Milliseconds(4500);
    constexpr auto lastStreamTime = Milliseconds(12500);

}

Soak::Soak(SoakOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_deployment(m_io, m_options, m_random, m_record)
    , m_faultInjector(m_io, m_options, m_deployment, m_random, m_record)
{
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
        if (m_options.crashingPrompts)
            spec.promptPart = fmt::format("50d{:x}", random() % soundPromptParts);
    } else if (roll < 6) {
        spec.type = RequestType::Order;
        spec.path = orderPath;
    } else {
        spec.path = lookupPath;
        if (roll > 7 && !m_record.addedPaths.empty())
            spec.path = std::next(m_record.addedPaths.begin(), static_cast<std::ptrdiff_t>(random() % m_record.addedPaths.size()))->first;
    }
    if (m_options.lastingStreams && spec.type == RequestType::Stream && random() % 4 == 0)
        spec.eventCount = 200 + static_cast<int>(random() % 600);
    if (m_options.variedCallers)
        varyRequest(spec, random);
    return spec;
}

/// Makes some requests slow to send or their responses large or slow to read.
void Soak::varyRequest(RequestSpec& spec, Random& random)
{
    if (spec.type == RequestType::Lookup && random() % 5 == 0)
        spec.paddingBytes = largeResponseBytes + random() % largeResponseBytes;
    if (spec.type == RequestType::Order && random() % 3 == 0)
        spec.bodyBytes = 1 + random() % 20000;
    if (spec.type != RequestType::Lookup && random() % 3 == 0)
        spec.bodyDuration = Milliseconds(random() % 1000);
    if (random() % 4 == 0)
        spec.readPause = Milliseconds(1 + random() % 20);
    spec.timeout = timeoutOfSlowCallers;
}

void Soak::startVariedCallers()
{
    auto start = [this](std::string name, std::uint64_t number, CallerOptions style) {
        style.name = std::move(name);
        style.seed = m_options.seed * 1000 + number;
        style.nextRequest = [this](Random& random) { return nextRequest(random); };
        style.chooseEndpoint = [this](Random& random) { return m_deployment.chooseEndpoint(random); };
        style.shouldContinue = [this] { return m_callersActive; };
        startCaller(std::move(style));
    };
    for (int i = 0; i < m_options.callers; ++i) {
        auto number = static_cast<std::uint64_t>(i);
        for (int k = 0; k < idleCallersPerCaller; ++k)
            start(fmt::format("i{}_{}", i, k), 10000 + number * idleCallersPerCaller + static_cast<std::uint64_t>(k), { .maxPauseBetweenRequests = maxPauseOfIdleCallers, .attempts = m_record.attempts });
        if (i % 2 == 0)
            start(fmt::format("k{}", i), 400 + number, { .pauseBetweenRequests = Milliseconds(0), .ignoresClose = true, .attempts = m_record.attempts });
        else
            start(fmt::format("n{}", i), 400 + number, { .reconnects = true, .attempts = m_record.attempts });
    }
}

/// Increases while faults are injected. Later no further request crashes engines, so that callers must be served again.
SoakTime Soak::crashingRequestNumber() const
{
    auto age = (m_faultInjector.injecting() ? soakNow() : m_faultInjectionEndedAt) - m_callersStartedAt;
    return age / crashingRequestPeriod;
}

/// The next request that crashes engines by a part of its prompt, which stays the same for some time.
RequestSpec Soak::nextCrashingPrompt(Random& random) const
{
    auto key = std::next(m_record.organisationByKey.begin(), static_cast<std::ptrdiff_t>(random() % m_record.organisationByKey.size()));
    return { .type = RequestType::Stream, .path = fmt::format("{}u{}/", streamPath, random() % 1000), .apiKey = key->first, .eventCount = 5 + static_cast<int>(random() % 50), .promptPart = fmt::format("{}{:x}", crashingPromptPart, crashingRequestNumber()) };
}

/// The next request that crashes engines. Its path, organisation and body stay the same for some time,
/// while the key and the stated output limit change.
RequestSpec Soak::nextCrashingRequest(Random& random) const
{
    auto number = crashingRequestNumber();
    RequestSpec spec;
    spec.type = number % 2 == 0 ? RequestType::Stream : RequestType::Lookup;
    CrashTrigger trigger { .number = number, .delay = m_options.crashDelay, .silent = number % 4 == 2 };
    if (m_options.crashesAfterAnswers)
        trigger.from = m_callersStartedAt + number * crashingRequestPeriod + timeOfAnswersBeforeCrashes;
    spec.path = fmt::format("{}{}/", number % 2 == 0 ? streamPath : lookupPath, encode(trigger));
    spec.apiKey = fmt::format("key-{}-{}", number % organisationCount, random() % keysPerOrganisation);
    spec.eventCount = 20;
    spec.outputTokenLimit = 80 + static_cast<int>(random() % 20);
    return spec;
}

void Soak::startCaller(CallerOptions options)
{
    m_callers.push_back(std::make_unique<Caller>(m_io, std::move(options)));
    asio::co_spawn(m_io, m_callers.back()->run(), asio::detached);
}

Awaitable<> Soak::runScenario()
{
    co_await sleepFor(Milliseconds(300));
    co_await m_deployment.publishConfiguration();
    co_await sleepFor(startupTime);
    m_callersStartedAt = soakNow();
    auto chooseEndpointOf = [this](Random& random) { return m_deployment.chooseEndpoint(random); };
    auto shouldContinue = [this] { return m_callersActive; };
    for (int i = 0; i < m_options.callers; ++i)
        startCaller({ .name = fmt::format("c{}", i), .seed = m_options.seed * 1000 + static_cast<std::uint64_t>(i), .nextRequest = [this](Random& random) { return nextRequest(random); }, .chooseEndpoint = chooseEndpointOf, .shouldContinue = shouldContinue, .attempts = m_record.attempts });
    for (int i = 0; m_options.crashingRequests && i < m_options.crashingCallers; ++i)
        startCaller({ .name = fmt::format("x{}", i), .seed = m_options.seed * 1000 + 500 + static_cast<std::uint64_t>(i), .nextRequest = [this](Random& random) { return nextCrashingRequest(random); }, .chooseEndpoint = chooseEndpointOf, .shouldContinue = shouldContinue, .pauseBetweenRequests = pauseOfCrashingCallers, .attempts = m_record.attempts });
    for (int i = 0; m_options.crashingPrompts && i < crashingPromptCallers; ++i)
        startCaller({ .name = fmt::format("p{}", i), .seed = m_options.seed * 1000 + 600 + static_cast<std::uint64_t>(i), .nextRequest = [this](Random& random) { return nextCrashingPrompt(random); }, .chooseEndpoint = chooseEndpointOf, .shouldContinue = shouldContinue, .pauseBetweenRequests = pauseOfCrashingCallers, .attempts = m_record.attempts });
    for (int i = 0; i < m_options.popularRequests * callersOfPopularRequest; ++i) {
        auto popular = [path = fmt::format("{}popular{}/", lookupPath, i % m_options.popularRequests)](Random&) { return RequestSpec { .path = path, .apiKey = fmt::format("key-0-{}", keysPerOrganisation - 1) }; };
        startCaller({ .name = fmt::format("f{}", i), .seed = m_options.seed * 1000 + 800 + static_cast<std::uint64_t>(i), .nextRequest = popular, .chooseEndpoint = chooseEndpointOf, .shouldContinue = shouldContinue, .pauseBetweenRequests = pauseOfPopularCallers, .attempts = m_record.attempts });
    }
    if (m_options.variedCallers)
        startVariedCallers();
    auto nextLookup = [](Random& random) { return RequestSpec { .path = lookupPath, .apiKey = fmt::format("key-{}-{}", random() % organisationCount, keysPerOrganisation - 1) }; };
    for (int i = 0; (m_options.greyEngines || m_options.brittleEngines) && i < m_options.callers / 2; ++i)
        startCaller({ .name = fmt::format("g{}", i), .seed = m_options.seed * 1000 + 700 + static_cast<std::uint64_t>(i), .nextRequest = nextLookup, .chooseEndpoint = chooseEndpointOf, .shouldContinue = shouldContinue, .pauseBetweenRequests = pauseOfLoadingCallers, .attempts = m_record.attempts });
    m_faultInjector.start();
    co_await sleepFor(fromSeconds(m_options.faultSeconds));
    m_faultInjector.stopInjecting();
    m_faultInjectionEndedAt = soakNow();
    // The longest fault and the longest stop have ended after this time.
    co_await sleepFor(stopTimeout);
    m_record.faultsEndedAt = soakNow();
    co_await sleepFor(faultFreeTime);
    m_callersActive = false;
    auto lastResponseDelay = m_options.variedCallers ? lastSlowResponseTime : lastResponseTime;
    if (m_options.lastingStreams)
        lastResponseDelay = lastStreamTime;
    co_await sleepFor(lastResponseDelay);
    m_faultInjector.stopRestarting();
    co_await readRecordedUsage();
    m_io.stop();
}

/// Stops all instances first because each writes its remaining usage records when it stops.
Awaitable<> Soak::readRecordedUsage()
{
    for (const auto& instance : m_deployment.instances())
        m_deployment.processes().signal(instance->name, SIGTERM);
    auto deadline = soakNow() + stopTimeout.count();
    auto& instances = m_deployment.instances();
    auto anyRunning = [&] { return std::any_of(instances.begin(), instances.end(), [&](const auto& instance) { return m_deployment.processes().isRunning(instance->name); }); };
    while (anyRunning() && soakNow() < deadline)
        co_await sleepFor(Milliseconds(50));
    platform::PlatformStore store(m_deployment.storeEndpoint());
    auto usage = co_await readUsage(store, platform::usagePrefix);
    if (!usage)
        co_return;
    for (const auto& [organisation, organisationUsage] : *usage)
        m_record.recordedRequests[organisation] = organisationUsage.requests;
    m_record.usageComplete = m_options.faults != "all";
}

std::vector<Violation> Soak::run()
{
    if (!m_deployment.start())
        return { { .guarantee = "all processes start", .evidence = m_options.folder } };
    asio::co_spawn(m_io, runScenario(), asio::detached);
    m_io.run();
    const auto& engines = m_deployment.engines();
    if (m_options.brittleEngines)
        m_record.brittleEngines = static_cast<int>(std::count_if(engines.begin(), engines.end(), [](const auto& engine) { return !engine->generates; }));
    m_record.engineRecords = readEngineRecords(m_options.folder + "/records");
    auto violations = findViolations(m_record);
    if (!m_deployment.processes().isRunning("store"))
        violations.push_back({ .guarantee = "the store of the soak runs to the end", .evidence = m_options.folder + "/store.log" });
    return violations;
}

}
