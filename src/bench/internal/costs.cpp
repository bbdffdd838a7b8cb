#include "bench/costs.h"

#include "common/random.h"
#include "peers/peermessage.h"
#include "scheduling/poolscheduler.h"

#include <fmt/format.h>

namespace guavaspan::bench {

namespace {

    // A cell at full size: 8 instances with 37 requests a second each before 32 engines.
    constexpr int cellEngines = 32;
    constexpr int runningPerEngine = 75;
    constexpr int sharedBlocks = 24;
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
        for (std::uint64_t i = 0; i < sharedBlocks; ++i)
            request.prefixBlocks.push_back(0x9e3779b97f4a7c15ULL * (i + 1 + random() % 20 * 1000));
        return request;
    }

    void printSize(const char* name, const PeerMessage& message)
    {
        fmt::print("{:<28} {:>6} bytes\n", name, encodePeerMessage(message).size());
    }

    void printSizes()
    {
        Random random(1);
        auto request = typicalRequest(random, 123456);
        Member member { .name = "entry-1234", .incarnation = 1796338976000, .processIncarnation = 1796338976000, .peerEndpoint = { .address = "10.123.45.67", .port = 7000 }, .callerEndpoint = { .address = "10.123.45.67", .port = 8080 }, .failureDomain = "finistere" };
        PermitRenewal held { .model = "writer", .instance = random() };
        for (std::uint64_t i = 0; i < 480; ++i)
            held.permits.emplace_back(100000 + i, 500);
        printSize("permit ask", PermitMessage(PermitSubmit { .model = "writer", .request = request }));
        printSize("permit decision", PermitMessage(PermitDecision { .action = Grant { .id = request.id, .engine = "engine-1234", .priority = 1, .overflowRisk = 0.01 } }));
        printSize("permit finish", PermitMessage(PermitFinish { .model = "writer", .id = request.id, .produced = 800 }));
        printSize("permit progress", PermitMessage(PermitProgress { .model = "writer", .id = request.id, .produced = 800 }));
        printSize("permits held (480)", PermitMessage(held));
        printSize("ping", MembershipMessage(Ping { .sequence = 100000, .revision = 9000 }));
        printSize("gossip of one member", MembershipMessage(Gossip { .updates = { member } }));
        printSize("view exchange (1,600)", MembershipMessage(ViewExchange { .members = std::vector<Member>(1600, member) }));
        printSize("revision announced", ConfigurationMessage(RevisionAnnouncement { .revision = 9000 }));
    }

}

int runCosts()
{
    printSizes();
    Random random(2);
    PoolScheduler granter({});
    std::vector<EngineInfo> engines;
    engines.reserve(cellEngines);
    for (int i = 0; i < cellEngines; ++i)
        engines.push_back({ .name = fmt::format("engine-{:02}", i), .failureDomain = "finistere" });
    granter.setEngines(engines);
    TimePoint now = TimePoint {} + Seconds(1);
    granter.onTick(now);
    for (const auto& engine : engines)
        granter.onLoadReport(engine.name, { .measuredAt = now, .tokensCapacity = 400000, .tokensUsed = 0, .running = 1, .stepSeconds = 0.025 }, now);
    std::vector<PermitId> running;
    std::uint64_t sequence = 0;
    while (granter.running() < static_cast<std::size_t>(cellEngines) * runningPerEngine) {
        auto request = typicalRequest(random, ++sequence);
        running.push_back(request.id);
        granter.onRequest(std::move(request), now);
        granter.takeActions();
    }
    auto started = Clock::now();
    for (int i = 0; i < requestsMeasured; ++i) {
        auto& slot = running[random() % running.size()];
        granter.onFinished(slot, 800, GenerationOutcome::Completed, now);
        auto request = typicalRequest(random, ++sequence);
        slot = request.id;
        granter.onRequest(std::move(request), now);
        granter.takeActions();
    }
    double perRequest = secondsBetween(started, Clock::now()) / requestsMeasured;
    started = Clock::now();
    for (int i = 0; i < ticksMeasured; ++i) {
        now += Milliseconds(50);
        granter.onTick(now);
        granter.takeActions();
    }
    double perTick = secondsBetween(started, Clock::now()) / ticksMeasured;
    fmt::print("granter, {} engines with {} running: {:.1f} us a request, {:.2f} ms a tick of 50 ms\n", cellEngines, granter.running(), 1e6 * perRequest, 1e3 * perTick);
    fmt::print("for 296 requests a second: {:.2f}% of a core, {:.3f}% averaged over 8 instances\n", 100 * (296 * perRequest + 20 * perTick), 100 * (296 * perRequest + 20 * perTick) / 8);
    return 0;
}

}
