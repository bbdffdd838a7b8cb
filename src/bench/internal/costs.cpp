#include "bench/costs.h"

#include "common/random.h"
#include "peers/peermessage.h"
#include "scheduling/poolscheduler.h"

#include <fmt/format.h>

namespace guavaspan::bench {

namespace {

    // A deployment at full size: 8 instances that each send 37 requests a second to a pool of 32 engines.
    constexpr int engineCount = 32;
    constexpr int runningPerEngine = 75;
    constexpr int sharedPrefixBlocks = 24;
    constexpr int requestsMeasured = 3000;
    constexpr int ticksMeasured = 40;

    PermitRequest typicalRequest(Random& random, std::uint64_t sequence)
    {
        PermitRequest request;
        request.id = { .instance = random(), .sequence = sequence };
        request.organisation = fmt::format("organisation-{}", random() % 400);
        request.service = "field-reports";
        request.promptTokens = 300 + static_cast<int>(random() % 600);
        request.maxTokens = 16384;
        request.failureDomain = "finistere";
        for (std::uint64_t i = 0; i < sharedPrefixBlocks; ++i)
            request.prefixBlocks.push_back(0x9e3779b97f4a7c15ULL * (i + 1 + random() % 20 * 1000));
        return request;
    }

    void printMessageSize(const char* name, const PeerMessage& message)
    {
        fmt::print("{:<28} {:>6} bytes\n", name, encodePeerMessage(message).size());
    }

    void printMessageSizes()
    {
        Random random(1);
        auto request = typicalRequest(random, 123456);
        Member member { .name = "entry-1234", .incarnation = 1796338976000, .processIncarnation = 1796338976000, .peerEndpoint = { .address = "10.123.45.67", .port = 7000 }, .callerEndpoint = { .address = "10.123.45.67", .port = 8080 }, .failureDomain = "finistere" };
        PermitRenewal renewal { .model = "writer", .instance = random() };
        for (std::uint64_t i = 0; i < 480; ++i)
            renewal.permits.emplace_back(100000 + i, 500);
        printMessageSize("permit ask", PermitMessage(PermitSubmit { .model = "writer", .request = request }));
        printMessageSize("permit decision", PermitMessage(PermitDecision { .action = Grant { .id = request.id, .engine = "engine-1234", .priority = 1, .overflowRisk = 0.01 } }));
        printMessageSize("permit finish", PermitMessage(PermitFinish { .model = "writer", .id = request.id, .producedTokens = 800 }));
        printMessageSize("permit progress", PermitMessage(PermitProgress { .model = "writer", .id = request.id, .producedTokens = 800 }));
        printMessageSize("permits held (480)", PermitMessage(renewal));
        printMessageSize("ping", MembershipMessage(Ping { .sequence = 100000, .revision = 9000 }));
        printMessageSize("gossip of one member", MembershipMessage(Gossip { .updates = { member } }));
        printMessageSize("view exchange (1,600)", MembershipMessage(ViewExchange { .members = std::vector<Member>(1600, member) }));
        printMessageSize("revision announced", ConfigurationMessage(RevisionAnnouncement { .revision = 9000 }));
    }

}

int runCosts()
{
    printMessageSizes();
    Random random(2);
    PoolScheduler scheduler({});
    std::vector<EngineInfo> engines;
    engines.reserve(engineCount);
    for (int i = 0; i < engineCount; ++i)
        engines.push_back({ .name = fmt::format("engine-{:02}", i), .failureDomain = "finistere" });
    scheduler.setEngines(engines);
    TimePoint now = TimePoint {} + Seconds(1);
    scheduler.onTick(now);
    for (const auto& engine : engines)
        scheduler.onLoadReport(engine.name, { .measuredAt = now, .tokensCapacity = 400000, .tokensUsed = 0, .running = 1, .stepSeconds = 0.025 }, now);
    std::vector<PermitId> running;
    std::uint64_t sequence = 0;
    while (scheduler.running() < static_cast<std::size_t>(engineCount) * runningPerEngine) {
        auto request = typicalRequest(random, ++sequence);
        running.push_back(request.id);
        scheduler.onRequest(std::move(request), now);
        scheduler.takeActions();
    }
    auto started = Clock::now();
    for (int i = 0; i < requestsMeasured; ++i) {
        auto& permitId = running[random() % running.size()];
        scheduler.onFinished(permitId, 800, GenerationOutcome::Completed, now);
        auto request = typicalRequest(random, ++sequence);
        permitId = request.id;
        scheduler.onRequest(std::move(request), now);
        scheduler.takeActions();
    }
    double secondsPerRequest = secondsBetween(started, Clock::now()) / requestsMeasured;
    started = Clock::now();
    for (int i = 0; i < ticksMeasured; ++i) {
        now += Milliseconds(50);
        scheduler.onTick(now);
        scheduler.takeActions();
    }
    double secondsPerTick = secondsBetween(started, Clock::now()) / ticksMeasured;
    fmt::print("pool scheduler, {} engines with {} running: {:.1f} us a request, {:.2f} ms a tick of 50 ms\n", engineCount, scheduler.running(), 1e6 * secondsPerRequest, 1e3 * secondsPerTick);
    fmt::print("for 296 requests a second: {:.2f}% of a core, {:.3f}% averaged over 8 instances\n", 100 * (296 * secondsPerRequest + 20 * secondsPerTick), 100 * (296 * secondsPerRequest + 20 * secondsPerTick) / 8);
    return 0;
}

}
