#include "dispatch/dispatcher.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// A pool with an engine in each of two failure domains.
struct DispatcherFixture {
    asio::io_context io;
    TargetDirectory directory;
    Dispatcher dispatcher { io, directory, "north", Random(3) };
    std::optional<PlacementOutcome> outcome;
    EngineTraits engine { .slots = 4, .memoryTokens = 20000 };

    DispatcherFixture()
    {
        directory.evacuations().setListener([this](const EvacuationChanged&) { dispatcher.onTargetsChanged(); });
        for (const char* domain : { "north", "south" }) {
            TargetEntry entry { .id = domain, .service = "writer", .endpoint = { .address = "10.0.0.1", .port = 1 }, .failureDomain = domain, .slots = 4, .startedAt = 1 };
            directory.onEntryWritten(entry.id, entry, Clock::now());
        }
    }

    void fill(const std::string& target)
    {
        auto id = dispatcher.nextId();
        dispatcher.ledger().begin(id, target, { .promptTokens = engine.memoryTokens });
        dispatcher.ledger().setOutputTokens(id, 1);
    }

    void evacuate(const std::string& domain) { directory.evacuations().onEvacuated(domain, Clock::now()); }

    static Awaitable<> store(Awaitable<PlacementOutcome> coroutine, std::optional<PlacementOutcome>& outcome) { outcome.emplace(co_await std::move(coroutine)); }

    void place()
    {
        PlacementRequest request { .id = dispatcher.nextId(), .service = "writer", .engine = engine, .estimate = { .promptTokens = 500, .outputTokens = 100 }, .latestStart = Clock::now() + Seconds(20) };
        asio::co_spawn(io, store(dispatcher.place(std::move(request)), outcome), asio::detached);
        run();
    }

    void run()
    {
        io.restart();
        io.run_for(Milliseconds(20));
    }

    bool refusedAsEvacuated() const
    {
        constexpr auto shortest = Seconds(4);
        constexpr auto longest = Seconds(7);
        return outcome && !*outcome && outcome->error().cause == RefusalCause::Evacuated && outcome->error().retryAfter >= shortest && outcome->error().retryAfter <= longest;
    }
};

}

/// Guards against requests that wait for room in vain while an operator keeps all their targets out of use.
Test(Dispatcher, allTargetsEvacuated_newRequestIsRefusedAtOnce)
{
    DispatcherFixture f;
    f.evacuate("north");
    f.evacuate("south");
    f.place();
    cr_expect(f.refusedAsEvacuated());
}

Test(Dispatcher, lastUsableTargetsEvacuated_waitingRequestIsRefusedAtOnce)
{
    DispatcherFixture f;
    f.fill("north");
    f.fill("south");
    f.place();
    cr_assert(!f.outcome && f.dispatcher.waitingCount() == 1);
    f.evacuate("south");
    f.run();
    cr_expect(!f.outcome, "the full engine may have room soon");
    f.evacuate("north");
    f.run();
    cr_expect(f.refusedAsEvacuated());
    cr_expect(f.dispatcher.waitingCount() == 0);
}

/// Guards against requests that wait although the domain serves again.
Test(Dispatcher, evacuationEnds_waitingRequestIsPlaced)
{
    DispatcherFixture f;
    f.fill("north");
    f.evacuate("south");
    f.place();
    cr_assert(!f.outcome);
    f.directory.evacuations().onEnded("south", Clock::now());
    f.run();
    cr_assert(f.outcome && *f.outcome);
    cr_expect((*f.outcome)->target.id == "south");
}
