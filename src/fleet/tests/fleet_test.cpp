#include "fleet/fleetview.h"
#include "fleet/storereplica.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

const BootTime start { Seconds(500) };
using Notification = std::pair<std::string, std::string>;

struct ReplicaFixture {
    StoreReplica replica;
    std::vector<Notification> notifications;

    ReplicaFixture()
    {
        replica.setChangeListener([this](const std::string& key, const std::optional<std::string>& value) { notifications.emplace_back(key, value.value_or("removed")); });
        replica.applyListing({ .entries = { { .key = "a", .value = "1", .version = 5 }, { .key = "b", .value = "1", .version = 6 } }, .revision = { .number = 6 } }, start);
    }

    StoreChanges changes(std::int64_t revision, std::vector<StoreChange> list) { return { .changes = std::move(list), .revision = { .number = revision } }; }
};

InstanceLoadReport reportOf(const std::string& name, std::int64_t sequence)
{
    return { .instance = name, .sequence = sequence };
}

}

Test(StoreReplica, keyFilter_rejectedEntries_areNeitherStoredNorPassedOn)
{
    ReplicaFixture f;
    f.replica.setKeyFilter([](const std::string& key) { return key != "c"; });
    f.replica.applyChanges(f.changes(8, { { .key = "c", .value = "1", .revision = 7 }, { .key = "b", .value = "2", .revision = 8 } }), start);
    cr_expect(f.replica.revision() == StoreRevision({ .number = 8 }), "rejected changes still advance the revision");
    cr_expect(f.replica.listing(start).entries.size() == 2);
    cr_expect(f.replica.changesAfter({ .number = 6 }, start).changes.size() == 1);
    cr_expect(f.notifications.back() == Notification("b", "2"));
}

Test(StoreReplica, applyListing_unchangedEntry_isNotNotifiedAgain)
{
    ReplicaFixture f;
    cr_expect(f.notifications.size() == 2);
    f.replica.applyListing({ .entries = { { .key = "a", .value = "1", .version = 5 }, { .key = "b", .value = "2", .version = 8 } }, .revision = { .number = 8 } }, start + Seconds(1));
    cr_assert(f.notifications.size() == 3);
    cr_expect(f.notifications[2] == Notification("b", "2"));
}

Test(StoreReplica, applyListing_entryMissingFromNewerListing_isRemoved)
{
    ReplicaFixture f;
    f.replica.applyListing({ .entries = { { .key = "a", .value = "1", .version = 5 } }, .revision = { .number = 9 } }, start);
    cr_expect(f.notifications.back() == Notification("b", "removed"));
}

Test(StoreReplica, olderChangeOrListing_applied_isIgnored)
{
    ReplicaFixture f;
    f.replica.applyChanges(f.changes(8, { { .key = "a", .value = "new", .revision = 8 } }), start);
    f.replica.applyChanges(f.changes(8, { { .key = "a", .value = "old", .revision = 7 }, { .key = "a", .revision = 6 } }), start);
    cr_expect(f.notifications.back() == Notification("a", "new"));
    f.replica.applyListing({ .revision = { .number = 7 } }, start);
    cr_expect(f.replica.revision() == StoreRevision({ .number = 8 }));
    cr_expect(f.notifications.back().second == "new", "an older listing is ignored");
}

Test(StoreReplica, changesAfter_missedRevision_returnsChangesOrLostHistory)
{
    ReplicaFixture f;
    f.replica.applyChanges(f.changes(8, { { .key = "a", .value = "2", .revision = 8 } }), start + Seconds(2));
    auto missed = f.replica.changesAfter({ .number = 6 }, start + Seconds(3));
    cr_expect(!missed.historyLost);
    cr_assert(missed.changes.size() == 1);
    cr_expect(missed.age == Seconds(1));
    cr_expect(f.replica.changesAfter({ .number = 3 }, start).historyLost, "before the start of this replica's history");
    cr_expect(f.replica.changesAfter({ .number = 12 }, start).historyLost, "the follower is ahead");
}

/// Guards against CONFIG: a change that a listing in several pages had already brought never reached the followers.
Test(StoreReplica, changesAfter_changesKnownFromALaterPage_areOffered)
{
    StoreReplica replica;
    replica.applyListing({ .entries = { { .key = "a", .value = "1", .version = 90 }, { .key = "config", .value = "v8", .version = 103 } }, .revision = { .number = 100 } }, start);
    replica.applyChanges({ .changes = { { .key = "b", .revision = 102 }, { .key = "config", .value = "v8", .revision = 103 } }, .revision = { .number = 104 } }, start);
    auto changes = replica.changesAfter({ .number = 100 }, start);
    cr_expect(!changes.historyLost);
    cr_assert(changes.changes.size() == 2);
    cr_expect(changes.changes[0] == StoreChange({ .key = "b", .revision = 102 }), "a key that was removed between two pages");
    cr_expect(changes.changes[1] == StoreChange({ .key = "config", .value = "v8", .revision = 103 }));
}

/// Guards against CONFIG: followers on slow links received every version of a large configuration and never caught up.
Test(StoreReplica, changesAfter_keyChangedSeveralTimes_onlyTheLatestChangeIsOffered)
{
    ReplicaFixture f;
    f.replica.applyChanges(f.changes(10, { { .key = "a", .value = "2", .revision = 7 }, { .key = "b", .value = "2", .revision = 8 }, { .key = "a", .value = "3", .revision = 9 }, { .key = "a", .value = "4", .revision = 10 } }), start);
    auto changes = f.replica.changesAfter({ .number = 6 }, start);
    cr_assert(changes.changes.size() == 2);
    cr_expect(changes.changes[0] == StoreChange({ .key = "b", .value = "2", .revision = 8 }));
    cr_expect(changes.changes[1] == StoreChange({ .key = "a", .value = "4", .revision = 10 }));
}

/// Guards against CONFIG: after each listing of a reader all its followers had to list, too.
Test(StoreReplica, changesAfter_listingInBetween_followerOfTheRevisionBeforeGetsTheDifference)
{
    ReplicaFixture f;
    f.replica.applyListing({ .entries = { { .key = "a", .value = "2", .version = 12 } }, .revision = { .number = 20 } }, start);
    auto changes = f.replica.changesAfter({ .number = 6 }, start);
    cr_expect(!changes.historyLost);
    cr_assert(changes.changes.size() == 2);
    cr_expect(changes.changes[0] == StoreChange({ .key = "a", .value = "2", .revision = 12 }));
    cr_expect(changes.changes[1] == StoreChange({ .key = "b", .revision = 20 }));
    cr_expect(f.replica.changesAfter({ .number = 13 }, start).historyLost, "an entry may have been written and removed in between");
    cr_expect(!f.replica.changesAfter({ .number = 20 }, start).historyLost);
    f.replica.applyListing({ .entries = { { .key = "a", .value = "2", .version = 12 } }, .revision = { .number = 30 } }, start);
    cr_expect(f.replica.changesAfter({ .number = 6 }, start).historyLost);
    cr_expect(!f.replica.changesAfter({ .number = 20 }, start).historyLost);
}

Test(StoreReplica, changesAfter_removalsNoLongerKept_historyIsLost)
{
    constexpr int removals = 600;
    ReplicaFixture f;
    StoreChanges changes { .revision = { .number = 6 + removals } };
    for (int i = 1; i <= removals; ++i)
        changes.changes.push_back({ .key = "c" + std::to_string(i), .revision = 6 + i });
    f.replica.applyChanges(changes, start);
    cr_expect(f.replica.changesAfter({ .number = 6 }, start).historyLost);
    cr_expect(!f.replica.changesAfter({ .number = 6 + removals / 2 }, start).historyLost);
}

Test(StoreReplica, applyChanges_olderConfirmation_doesNotDecreaseConfirmedAt)
{
    ReplicaFixture f;
    f.replica.applyChanges(f.changes(7, {}), start + Seconds(4));
    f.replica.applyChanges(f.changes(7, {}), start + Seconds(2));
    cr_expect(f.replica.confirmedAt() == start + Seconds(4));
}

Test(FleetView, unresponsivePeer_isNotOwnerAndIsReturnedOnce)
{
    FleetView fleet("self", 100);
    TimePoint now { Seconds(10) };
    fleet.onRegistered("k1", { .name = "strong", .cpuMillicores = 500 });
    cr_expect(fleet.ownerOf("writer", {}, now) == "self", "no report received yet");
    fleet.onReport(reportOf("strong", 1), now);
    cr_expect(fleet.ownerOf("writer", {}, now) == "strong");
    cr_expect(fleet.ownerOf("writer", { "strong" }, now) == "self");
    now += Seconds(2);
    cr_expect(fleet.ownerOf("writer", {}, now) == "self");
    cr_expect(fleet.takeUnresponsivePeers(now).size() == 1);
    cr_expect(fleet.takeUnresponsivePeers(now).empty());
}

Test(FleetView, ownerOf_allInstances_agreeOnOneOwner)
{
    std::vector<std::string> names { "a", "b", "c", "d" };
    TimePoint now { Seconds(10) };
    std::set<std::string> owners;
    for (const auto& self : names) {
        FleetView fleet(self, 250);
        for (const auto& name : names) {
            fleet.onRegistered(name, { .name = name, .cpuMillicores = 250 });
            fleet.onReport(reportOf(name, 1), now);
        }
        owners.insert(fleet.ownerOf("writer", {}, now));
    }
    cr_expect(owners.size() == 1);
}

Test(FleetView, onReport_outOfOrderOrFromSelf_isIgnored)
{
    FleetView fleet("self", 100);
    TimePoint now { Seconds(10) };
    cr_expect(fleet.onReport(reportOf("p", 5), now));
    cr_expect(!fleet.onReport(reportOf("p", 4), now));
    cr_expect(!fleet.onReport(reportOf("self", 9), now));
}

namespace {

/// Counts the instances of a fleet that consider themselves readers of the store.
int countStoreReaders(int instances, int strongInstances)
{
    TimePoint now { Seconds(10) };
    auto nameOf = [](int number) { return "entry-" + std::to_string(number); };
    auto millicoresOf = [&](int number) { return number < strongInstances ? 500 : 120; };
    int readers = 0;
    for (int self = 0; self < instances; ++self) {
        FleetView fleet(nameOf(self), millicoresOf(self));
        for (int i = 0; i < instances; ++i) {
            fleet.onRegistered(nameOf(i), { .name = nameOf(i), .failureDomain = i % 2 == 0 ? "north" : "south", .cpuMillicores = millicoresOf(i) });
            fleet.onReport(reportOf(nameOf(i), 1), now);
        }
        bool reads = fleet.readsStore(now, false);
        readers += reads ? 1 : 0;
        cr_expect(!reads || self < strongInstances, "the readers have the largest CPU quota");
        auto storeReaders = fleet.storeReaders("south", now, false);
        cr_expect(!storeReaders.empty() && storeReaders.front().cpuMillicores == 500);
    }
    return readers;
}

}

Test(FleetView, storeReaders_smallAndLargeFleet_areTwoOrOnePerHundred)
{
    cr_expect(countStoreReaders(8, 8) == 2);
    cr_expect(countStoreReaders(60, 6) == 2);
    cr_expect(countStoreReaders(320, 12) == 4);
}

Test(FleetView, relayingPeers_notReadyUnreachableOrSilent_areLeftOut)
{
    FleetView fleet { "self", 250 };
    TimePoint now { Seconds(100) };
    Endpoint callers { .address = "10.0.0.1", .port = 8740 };
    for (const char* name : { "able", "notReady", "cutOff", "silent" })
        fleet.onRegistered(name, { .name = name, .callerEndpoint = callers });
    fleet.onRegistered("older", { .name = "older" });
    for (const char* name : { "able", "older" })
        fleet.onReport({ .instance = name, .sequence = 1, .relaysForPeers = true }, now);
    fleet.onReport({ .instance = "notReady", .sequence = 1 }, now);
    fleet.onReport({ .instance = "cutOff", .sequence = 1, .relaysForPeers = true, .unreachableServices = { "model" } }, now);
    auto peers = fleet.relayingPeers("model", now);
    cr_assert(peers.size() == 1);
    cr_expect(peers.front().name == "able");
    cr_expect(fleet.relayingPeers("shop", now).size() == 2);
}

Test(InstanceRecord, codec_validAndInvalidBytes_roundTripsOrRejects)
{
    InstanceRecord record { .name = "n", .peerEndpoint = { .address = "10.0.0.1", .port = 7200 }, .failureDomain = "d", .cpuMillicores = 250, .callerEndpoint = Endpoint { .address = "10.0.0.1", .port = 8740 } };
    cr_expect(decodeInstanceRecord(encodeInstanceRecord(record)) == record);
    cr_expect(!decodeInstanceRecord("not cbor").has_value());
    cr_expect(!decodeInstanceRecord("").has_value());
}
