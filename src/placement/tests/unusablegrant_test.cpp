#include "net/tests/runcoroutine.h"
#include "placement/placementclient.h"
#include "placement/placementserver.h"
#include "placement/tests/loopbackaddress.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

constexpr const char* service = "writer";
const EngineTraits engineTraits { .slots = 4, .memoryTokens = 20000 };
constexpr WorkEstimate estimate { .promptTokens = 100, .outputTokens = 100 };

TargetEntry engine(const std::string& id)
{
    return { .id = id, .service = service, .endpoint = { .address = "10.0.0.1", .port = 1 }, .failureDomain = "north", .slots = 4, .startedAt = 1 };
}

struct Node {
    Node(asio::io_context& io, std::string nodeName, int cpuMillicores)
        : name(std::move(nodeName))
        , endpoint(freeEndpoint(io))
        , fleet(name, cpuMillicores)
        , dispatcher(io, directory, "north", Random(3))
        , limits(name)
        , link(io, fleet)
        , server(io, name, dispatcher, configuration, link)
        , client(io, name, fleet, dispatcher, directory, limits, outputEstimator, link)
    {
        configuration.adopt({ .version = 1, .services = { { .name = service, .engine = engineTraits } } });
        link.setMessageHandler([this](const FleetMessage& message) {
            if (const auto* query = std::get_if<PlacementQuery>(&message))
                server.onQuery(*query);
            else if (const auto* response = std::get_if<PlacementResponse>(&message))
                client.onResponse(*response);
            else if (const auto* release = std::get_if<PlacementRelease>(&message))
                server.onRelease(*release);
        });
        client.setUnusableGrantListener([this](std::string_view reason) { reasons.emplace_back(reason); });
    }

    void introduce(const Node& peer, int cpuMillicores)
    {
        fleet.onRegistered(peer.name, { .name = peer.name, .peerEndpoint = peer.endpoint, .cpuMillicores = cpuMillicores });
        fleet.onReport({ .instance = peer.name, .sequence = 1 }, Clock::now());
    }

    void know(const std::string& id) { directory.onEntryWritten(id, engine(id), Clock::now()); }

    int requestsAt(const std::string& id) { return dispatcher.ledger().totalLoad(id).requests; }

    std::string name;
    Endpoint endpoint;
    FleetView fleet;
    TargetDirectory directory;
    Dispatcher dispatcher;
    TargetLimits limits;
    OutputEstimator outputEstimator;
    ActiveConfiguration configuration { Seconds(100) };
    FleetLink link;
    PlacementServer server;
    PlacementClient client;
    std::vector<std::string> reasons;
};

/// A pool's owner, which grants "first" while it is free, and a requester.
struct UnusableGrantFixture {
    UnusableGrantFixture()
    {
        asker.introduce(owner, 500);
        owner.introduce(asker, 100);
        for (auto* node : { &owner, &asker }) {
            cr_assert(node->link.listen(node->endpoint));
            asio::co_spawn(io, node->link.receiveLoop(), asio::detached);
        }
        owner.know("first");
        owner.know("second");
        owner.dispatcher.ledger().begin(owner.dispatcher.nextId(), "second", { .promptTokens = 4000, .outputTokens = 4000 });
        asker.know("second");
    }

    PlacementOutcome place(std::set<std::string> excluded = {})
    {
        std::optional<PlacementOutcome> outcome;
        PlacementRequest request { .id = asker.dispatcher.nextId(), .service = service, .engine = engineTraits, .organisation = "o", .estimate = estimate, .excluded = std::move(excluded), .latestStart = Clock::now() + Milliseconds(400) };
        asio::co_spawn(io, storeValue(asker.client.place(std::move(request)), outcome), asio::detached);
        io.restart();
        while (!outcome)
            io.run_one();
        return *outcome;
    }

    void expectPlacedOnSecond(const char* reason)
    {
        auto outcome = place();
        cr_assert(outcome, "%s: %s", reason, outcome.has_error() ? outcome.error().detail.c_str() : "");
        cr_expect(outcome->target.id == "second" && outcome->decider == PlacementDecider::Owner, "%s", reason);
        cr_expect(asker.reasons == std::vector<std::string> { reason }, "%s", reason);
        cr_expect(owner.requestsAt("first") == 0, "%s: the owner released the grant that was returned", reason);
        cr_expect(owner.requestsAt("second") == 2 && asker.requestsAt("second") == 1, "%s", reason);
        cr_expect(asker.requestsAt("first") == 0, "%s", reason);
    }

    asio::io_context io;
    Node owner { io, "owner", 500 };
    Node asker { io, "asker", 100 };
};

}

/// Guards against REFUSED: a request was answered 503 since its owner knew an engine that its instance did not.
Test(UnusableGrant, targetUnknownToTheRequester_anotherOneIsGranted)
{
    UnusableGrantFixture f;
    f.expectPlacedOnSecond("unknown");
}

Test(UnusableGrant, targetDrainingAtTheRequester_anotherOneIsGranted)
{
    UnusableGrantFixture f;
    f.asker.know("first");
    f.asker.directory.onDrainingReported("first", 1, Clock::now());
    f.expectPlacedOnSecond("draining");
}

/// Guards against an overloaded cold target: the target became cold while the request waited at the owner, and the requester has no share of its limit.
Test(UnusableGrant, requesterHasNoShareOfAColdTarget_anotherOneIsGranted)
{
    UnusableGrantFixture f;
    f.asker.know("first");
    f.asker.limits.setColdServices({ { service, 31 } }, Clock::now());
    f.asker.limits.onWarmUpAnswer(engine("first"), Seconds(5), Clock::now());
    f.expectPlacedOnSecond("limited");
}

/// Guards against an overloaded cold target: an exhausted cold target counts as a free place, so that its requester gets no other one.
Test(UnusableGrant, requesterExcludesAColdTarget_ownerChoosesAnother)
{
    UnusableGrantFixture f;
    f.asker.know("first");
    f.asker.limits.setColdServices({ { service, 31 } }, Clock::now());
    f.asker.limits.onWarmUpAnswer(engine("first"), Seconds(5), Clock::now());
    auto outcome = f.place(f.asker.limits.exhaustedTargets(Clock::now()));
    cr_assert(outcome);
    cr_expect(outcome->target.id == "second" && f.asker.reasons.empty());
}

/// Guards against REFUSED: an owner with other targets than the requester keeps the request until its time is over.
Test(UnusableGrant, ownerGrantsUnusableTargetsOnly_requesterDecidesItself)
{
    UnusableGrantFixture f;
    for (int number = 0; number < 9; ++number)
        f.owner.know("elsewhere-" + std::to_string(number));
    f.owner.dispatcher.ledger().begin(f.owner.dispatcher.nextId(), "second", { .promptTokens = 4000, .outputTokens = 4000 });
    auto outcome = f.place();
    cr_assert(outcome, "%s", outcome.has_error() ? outcome.error().detail.c_str() : "");
    cr_expect(outcome->target.id == "second" && outcome->decider == PlacementDecider::HereWithoutOwner);
    cr_expect(f.asker.reasons.size() == 4, "%zu grants were returned", f.asker.reasons.size());
    f.io.run_for(Milliseconds(50));
    cr_expect(f.owner.server.queryCount() == 0, "the owner released the last grant, too");
    cr_expect(f.asker.client.ownerOf(service) == "owner", "it responded, so it stays the owner");
}

/// Guards against REFUSED: a query that a datagram's loss or delay repeats takes a grant twice, or returns the wrong one.
Test(UnusableGrant, queriesAreRepeatedOrLate_oneGrantIsHeld)
{
    UnusableGrantFixture f;
    PlacementQuery query { .requester = "other", .requesterIncarnation = 1, .id = 5, .service = service, .estimate = estimate, .maxWait = Milliseconds(300) };
    auto returning = query;
    returning.excluded = { "first" };
    auto receive = [&](const PlacementQuery& received) {
        f.owner.server.onQuery(received);
        f.io.restart();
        f.io.run_for(Milliseconds(5));
    };
    receive(query);
    receive(query);
    cr_expect(f.owner.requestsAt("first") == 1 && f.owner.requestsAt("second") == 1);
    for (const auto& received : { returning, returning, query }) {
        receive(received);
        cr_expect(f.owner.requestsAt("first") == 0 && f.owner.requestsAt("second") == 2);
    }
    f.owner.server.onRelease({ .requester = "other", .requesterIncarnation = 1, .id = 5 });
    cr_expect(f.owner.requestsAt("second") == 1 && f.owner.server.queryCount() == 0);
}
