#include "placement/fleetlink.h"
#include "placement/tests/loopbackaddress.h"

#include <criterion/criterion.h>

using namespace guavaspan;

/// Guards against SCALE: bytes are counted for messages that were not sent, or once for a message to several instances.
Test(FleetLink, messagesOfSeveralKinds_bytesThatWereSentAreCountedByKind)
{
    asio::io_context io;
    FleetView fleet("self", 100);
    FleetLink link(io, fleet);
    cr_assert(link.listen(freeEndpoint(io)));
    for (const char* name : { "first", "second" })
        fleet.onRegistered(name, { .name = name, .peerEndpoint = freeEndpoint(io) });
    PlacementRelease release { .requester = "self", .requesterIncarnation = 1, .id = 7 };
    ShutdownNotice notice { .target = "engine-1", .startedAt = 1 };
    cr_expect(link.send("first", release));
    cr_expect(!link.send("nobody", release));
    link.sendTo({ "first", "second", "nobody" }, notice);
    auto bytes = link.bytesSent();
    cr_expect(bytes.at("placement_release") == encodeFleetMessage(release).size());
    cr_expect(bytes.at("shutdown_notice") == 2 * encodeFleetMessage(notice).size());
    cr_expect(bytes.at("load_report") == 0);
    cr_expect(bytes.size() == std::variant_size_v<FleetMessage>, "each kind has a name of its own");
}

/// Guards against SCALE: a message that was added in the middle of the list gives all later ones the names of others.
Test(FleetLink, kindsOfMessages_haveTheirNames)
{
    auto kindOf = [](const FleetMessage& message) { return fleetMessageKinds.at(message.index()); };
    cr_expect(kindOf(InstanceLoadReport {}) == "load_report");
    cr_expect(kindOf(MoveQuery {}) == "move_query");
    cr_expect(kindOf(InterruptionReport {}) == "interruption_report");
    cr_expect(kindOf(PromptPartConviction {}) == "prompt_part_conviction");
    cr_expect(kindOf(TrialRelease {}) == "trial_release");
    cr_expect(kindOf(FleetSummary {}) == "summary");
    cr_expect(kindOf(BroadcastBatch {}) == "broadcast_batch");
}
