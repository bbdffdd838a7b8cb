#include "placement/trialclient.h"

#include "net/tests/runcoroutine.h"
#include "placement/tests/loopbackaddress.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

constexpr const char* service = "shop";

struct Node {
    Node(asio::io_context& io, std::string nodeName, int cpuMillicores)
        : name(std::move(nodeName))
        , endpoint(freeEndpoint(io))
        , fleet(name, cpuMillicores)
        , link(io, fleet)
        , trials(io, name, fleet, link)
    {
        link.setMessageHandler([this](const FleetMessage& message) {
            if (const auto* query = std::get_if<TrialQuery>(&message))
                trials.onQuery(*query, Clock::now());
            else if (const auto* response = std::get_if<TrialResponse>(&message))
                trials.onResponse(*response);
            else if (const auto* release = std::get_if<TrialRelease>(&message))
                trials.onRelease(*release, Clock::now());
        });
    }

    void introduce(const Node& peer, int cpuMillicores)
    {
        fleet.onRegistered(peer.name, { .name = peer.name, .peerEndpoint = peer.endpoint, .cpuMillicores = cpuMillicores });
        fleet.onReport({ .instance = peer.name, .sequence = 1 }, Clock::now());
    }

    std::string name;
    Endpoint endpoint;
    FleetView fleet;
    FleetLink link;
    TrialClient trials;
};

/// An instance that owns the service, because of its larger quota, and one that asks it.
struct TrialClientFixture {
    TrialClientFixture()
    {
        asker.introduce(owner, 500);
        owner.introduce(asker, 100);
    }

    void connect()
    {
        for (auto* node : { &owner, &asker }) {
            cr_assert(node->link.listen(node->endpoint));
            asio::co_spawn(io, node->link.receiveLoop(), asio::detached);
        }
    }

    TrialDecision start(Node& node, std::uint64_t number, Suspect suspect, const char* target)
    {
        std::optional<TrialDecision> decision;
        asio::co_spawn(io, storeValue(node.trials.start(number, service, { .suspects = { suspect }, .target = target }, holder), decision), asio::detached);
        io.restart();
        while (!decision)
            io.run_one();
        return *decision;
    }

    void runFor(Clock::duration duration)
    {
        io.restart();
        io.run_for(duration);
    }

    asio::io_context io;
    Node owner { io, "owner", 500 };
    Node asker { io, "asker", 100 };
    std::shared_ptr<const bool> holder = std::make_shared<const bool>(true);
};

}

Test(TrialClient, suspectOnTrialAtAnInstance_isNotTriedAtAnotherUntilTheTrialEnds)
{
    TrialClientFixture f;
    f.connect();
    cr_expect(f.start(f.asker, 1, 7, "first") == TrialDecision::Granted);
    cr_expect(f.start(f.owner, 1, 7, "second") == TrialDecision::SuspectOnTrial);
    cr_expect(f.start(f.owner, 2, 8, "first") == TrialDecision::TargetOnTrial);
    f.asker.trials.end(1, TrialEnd::Answered);
    f.runFor(Milliseconds(50));
    cr_expect(f.start(f.owner, 3, 7, "second") == TrialDecision::Granted);
    cr_expect(f.start(f.asker, 2, 7, "first") == TrialDecision::SuspectOnTrial);
}

Test(TrialClient, trialLastsLong_isKeptWhileItIsRepeated)
{
    TrialClientFixture f;
    f.connect();
    cr_expect(f.start(f.asker, 1, 7, "first") == TrialDecision::Granted);
    for (int tick = 0; tick < 13; ++tick) {
        f.runFor(Milliseconds(100));
        f.asker.trials.onTick(Clock::now());
    }
    cr_expect(f.start(f.owner, 1, 7, "second") == TrialDecision::SuspectOnTrial);
    f.holder.reset();
    f.asker.trials.onTick(Clock::now());
    f.holder = std::make_shared<const bool>(true);
    f.runFor(Milliseconds(50));
    cr_expect(f.start(f.owner, 2, 7, "second") == TrialDecision::Granted, "the request that ran on trial is gone");
}

Test(TrialClient, ownerDoesNotAnswer_instanceDecidesByItself)
{
    TrialClientFixture f;
    cr_expect(f.start(f.asker, 1, 7, "first") == TrialDecision::Granted);
    cr_expect(f.start(f.asker, 2, 8, "first") == TrialDecision::TargetOnTrial);
}
