#include "fleet/fleetview.h"
#include "fleet/storereplica.h"
#include "fleet/storerewrite.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

const BootTime start { Seconds(500) };

/// The values of keys under "numbered/" are numbers that rise with each write.
std::optional<std::strong_ordering> compareNumbers(const std::string& key, const std::string& left, const std::string& right)
{
    if (!key.starts_with("numbered/"))
        return std::nullopt;
    return std::stoi(left) <=> std::stoi(right);
}

/// A replica that knows the store up to revision 100 of era 1.
struct RestoredReplicaFixture {
    StoreReplica replica;
    std::vector<StoreRestored> restorations;

    RestoredReplicaFixture()
    {
        replica.setEntryOrder(compareNumbers);
        replica.setRestoreListener([this](const StoreRestored& event) { restorations.push_back(event); });
        replica.applyListing({ .entries = { { .key = "numbered/a", .value = "7", .version = 90 }, { .key = "plain", .value = "lost", .version = 99 } }, .revision = { .era = 1, .number = 100 } }, start);
    }

    /// The store lists its entries after it has come back from a copy.
    void restore(std::vector<KeyValueEntry> entries, std::int64_t number = 80)
    {
        replica.applyListing({ .entries = std::move(entries), .revision = { .era = 2, .number = number } }, start + Seconds(1));
    }

    void change(const std::string& key, std::optional<std::string> value, std::int64_t number)
    {
        replica.applyChanges({ .changes = { { .key = key, .value = std::move(value), .revision = number } }, .revision = { .era = replica.revision().era, .number = number } }, start + Seconds(2));
    }

    std::string valueOf(const std::string& key) const
    {
        for (const auto& entry : replica.listing(start).entries) {
            if (entry.key == key)
                return entry.value;
        }
        return "none";
    }
};

}

/// Guards against CONFIG: a listing of the restored store was dropped because its revision was lower than the one read before.
Test(RestoredReplica, listingOfNewEra_lowerRevision_isApplied)
{
    RestoredReplicaFixture f;
    f.restore({ { .key = "plain", .value = "copied", .version = 70 } });
    cr_expect(f.valueOf("plain") == "copied");
    cr_expect(f.replica.revision() == StoreRevision({ .era = 2, .number = 80 }));
    cr_expect(f.replica.confirmedAt() == start + Seconds(1));
    cr_assert(f.restorations.size() == 1);
    cr_expect(f.restorations.front() == StoreRestored({ .from = { .era = 1, .number = 100 }, .to = { .era = 2, .number = 80 } }));
}

/// Guards against CONFIG: entries that were written again below their old revision were dropped one by one.
Test(RestoredReplica, entryWrittenAgainBelowItsOldRevision_isApplied)
{
    RestoredReplicaFixture f;
    f.restore({ { .key = "numbered/a", .value = "8", .version = 85 } }, 105);
    cr_expect(f.valueOf("numbered/a") == "8");
    f.change("numbered/a", "9", 106);
    cr_expect(f.valueOf("numbered/a") == "9");
}

/// Guards against DRAIN: the copy brought back what its writer had replaced since.
Test(RestoredReplica, copiedEntryOlderByItsValue_isIgnoredUntilItIsWrittenAgain)
{
    RestoredReplicaFixture f;
    f.restore({ { .key = "numbered/a", .value = "6", .version = 70 } });
    cr_expect(f.valueOf("numbered/a") == "7");
    cr_expect(f.replica.olderEntries() == 1);
    f.change("numbered/a", "8", 81);
    cr_expect(f.valueOf("numbered/a") == "8");
}

/// Guards against DRAIN: the copy brought back an entry that had been removed since.
Test(RestoredReplica, copiedEntryRemovedSince_isIgnoredUntilItIsWrittenAgain)
{
    RestoredReplicaFixture f;
    f.change("numbered/a", std::nullopt, 101);
    f.restore({ { .key = "numbered/a", .value = "7", .version = 70 } });
    cr_expect(f.valueOf("numbered/a") == "none");
    f.change("numbered/a", "8", 81);
    cr_expect(f.valueOf("numbered/a") == "8");
}

Test(RestoredReplica, entryRemovedLongBefore_isTakenFromTheCopy)
{
    RestoredReplicaFixture f;
    f.replica.applyChanges({ .changes = { { .key = "numbered/a", .revision = 101 } }, .revision = { .era = 1, .number = 101 } }, start);
    f.replica.applyChanges({ .changes = { { .key = "plain", .revision = 102 } }, .revision = { .era = 1, .number = 102 } }, start + Seconds(90));
    f.restore({ { .key = "numbered/a", .value = "7", .version = 70 } });
    cr_expect(f.valueOf("numbered/a") == "7");
}

Test(RestoredReplica, entryMissingFromTheCopy_isRemoved)
{
    RestoredReplicaFixture f;
    f.restore({});
    cr_expect(f.valueOf("plain") == "none");
    cr_expect(f.valueOf("numbered/a") == "none");
}

/// Guards against CONFIG: a peer that had not read the restored store yet brought back entries of the earlier era.
Test(RestoredReplica, listingAndChangesOfEarlierEra_areIgnored)
{
    RestoredReplicaFixture f;
    f.restore({ { .key = "plain", .value = "copied", .version = 70 } });
    f.replica.applyListing({ .entries = { { .key = "plain", .value = "old", .version = 110 } }, .revision = { .era = 1, .number = 120 } }, start);
    f.replica.applyChanges({ .changes = { { .key = "plain", .value = "old", .revision = 121 } }, .revision = { .era = 1, .number = 121 } }, start);
    cr_expect(f.valueOf("plain") == "copied");
    cr_expect(f.restorations.size() == 1);
}

Test(RestoredReplica, changesOfLaterEraWithoutListing_areIgnored)
{
    RestoredReplicaFixture f;
    f.replica.applyChanges({ .changes = { { .key = "plain", .value = "new", .revision = 120 } }, .revision = { .era = 2, .number = 120 } }, start);
    cr_expect(f.valueOf("plain") == "lost", "changes before revision 120 are unknown");
    cr_expect(f.replica.revision().era == 1);
}

Test(RestoredReplica, followerOfAnotherEra_hasToListAgain)
{
    RestoredReplicaFixture f;
    f.restore({ { .key = "plain", .value = "copied", .version = 70 } }, 110);
    cr_expect(f.replica.changesAfter({ .era = 1, .number = 110 }, start).historyLost);
    cr_expect(f.replica.changesAfter({ .era = 3, .number = 110 }, start).historyLost);
    cr_expect(!f.replica.changesAfter({ .era = 2, .number = 110 }, start).historyLost);
}

/// Guards against CONFIG: an instance that was cut off before the restore never learned what the store had lost.
Test(RestoredReplica, valueOfPeer_isTakenOnlyIfNewer)
{
    RestoredReplicaFixture f;
    f.restore({ { .key = "numbered/a", .value = "8", .version = 70 }, { .key = "plain", .value = "copied", .version = 71 } });
    cr_expect(!f.replica.adoptNewer("numbered/a", "7"));
    cr_expect(!f.replica.adoptNewer("plain", "other"), "its order is unknown");
    cr_expect(!f.replica.adoptNewer("numbered/b", "1"));
    cr_expect(f.replica.adoptNewer("numbered/a", "9"));
    cr_expect(f.valueOf("numbered/a") == "9");
    f.change("numbered/a", "10", 81);
    cr_expect(f.valueOf("numbered/a") == "10");
}

/// Guards against CONFIG: an instance that follows a peer of an older version misses that the store was restored.
Test(FleetView, peersOfOlderVersions_doNotCountAsReadersOfAStoreThatStatesEras)
{
    FleetView fleet("self", 100);
    TimePoint now { Seconds(10) };
    for (const char* name : { "old-1", "old-2", "new" })
        fleet.onRegistered(name, { .name = name, .cpuMillicores = 500 });
    fleet.onReport({ .instance = "old-1", .sequence = 1 }, now);
    fleet.onReport({ .instance = "old-2", .sequence = 1 }, now);
    fleet.onReport({ .instance = "new", .sequence = 1, .storeEra = 1 }, now);
    cr_expect(!fleet.readsStore(now, false));
    cr_expect(fleet.readsStore(now, true));
    auto readers = fleet.storeReaders("north", now, true);
    cr_assert(readers.size() == 1);
    cr_expect(readers.front().name == "new");
}

/// Guards against instances without peers: in a large fleet the last ones register again many seconds after the restore.
Test(FleetView, largeFleetLosesAllRegistrations_keepsThemUntilAllHadTimeToRegister)
{
    constexpr int instances = 1600;
    FleetView fleet("self", 100);
    TimePoint now { Seconds(10) };
    for (int i = 1; i < instances; ++i) {
        auto name = std::to_string(i);
        fleet.onRegistered(name, { .name = name });
    }
    auto registrationSpread = rewriteSpread(instances, callsToRegisterAgain);
    cr_expect_eq(registrationSpread.count(), 24000, "three writes of each at 200 a second");
    fleet.onStoreRestored(now);
    for (int i = 1; i < instances; ++i)
        fleet.onUnregistered(std::to_string(i), now);
    now += registrationSpread;
    fleet.onTick(now);
    cr_expect_eq(fleet.instanceCount(), instances);
    now += Seconds(3);
    fleet.onTick(now);
    cr_expect_eq(fleet.instanceCount(), 1);
}

/// Guards against instances without peers: all that had registered since the copy were forgotten until they registered again.
Test(FleetView, registrationsLostByRestoredStore_areKeptUntilWrittenAgain)
{
    FleetView fleet("self", 100);
    TimePoint now { Seconds(10) };
    for (const char* name : { "alive", "dead" })
        fleet.onRegistered(name, { .name = name });
    fleet.onStoreRestored(now);
    fleet.onUnregistered("alive", now);
    fleet.onUnregistered("dead", now);
    cr_expect(fleet.peerNames().size() == 2);
    fleet.onRegistered("alive", { .name = "alive" });
    now += Seconds(3);
    fleet.onTick(now);
    cr_assert(fleet.peerNames().size() == 1);
    cr_expect(fleet.peerNames().front() == "alive");
    fleet.onUnregistered("alive", now);
    cr_expect(fleet.peerNames().empty(), "a removal later on counts at once");
}
