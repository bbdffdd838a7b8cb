#include "fleet/storefollower.h"
#include "net/tests/runcoroutine.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// A store or peer whose data has an age, and which may be unreachable.
class FakeSource : public IWatchableStore {
public:
    Awaitable<Result<StoreListing>> listAll(std::string) override
    {
        ++callCount;
        if (!reachable)
            co_return unreachable();
        co_return StoreListing { .entries = { { .key = "k", .value = value, .version = revision } }, .revision = { .era = era, .number = revision }, .age = currentAge(), .sinceOutage = sinceOutage };
    }

    Awaitable<Result<StoreChanges>> watch(std::string, StoreRevision after, Milliseconds) override
    {
        ++callCount;
        if (!reachable)
            co_return unreachable();
        StoreChanges changes { .revision = { .era = era, .number = revision }, .historyLost = after.era != era, .age = currentAge(), .sinceOutage = sinceOutage };
        if (!changes.historyLost && after.number < revision)
            changes.changes.push_back({ .key = "k", .value = value, .revision = revision });
        co_return changes;
    }

    bool reachable = true;
    std::optional<Clock::duration> sinceOutage;
    Clock::duration age {};
    /// When the source lost the store; its age rises from then on.
    std::optional<BootTime> lostStoreAt;
    std::string value = "old";
    std::int64_t era = 0;
    std::int64_t revision = 5;
    int callCount = 0;

private:
    Clock::duration currentAge() const { return lostStoreAt ? BootClock::now() - *lostStoreAt : age; }
    static Error unreachable() { return { .code = ErrorCode::Unavailable, .step = Step::KeyValue, .peer = "fake" }; }
};

class PeerStoreProxy : public IWatchableStore {
public:
    explicit PeerStoreProxy(FakeSource& source)
        : m_source(source)
    {
    }
    Awaitable<Result<StoreListing>> listAll(std::string prefix) override { return m_source.listAll(std::move(prefix)); }
    Awaitable<Result<StoreChanges>> watch(std::string prefix, StoreRevision after, Milliseconds wait) override { return m_source.watch(std::move(prefix), after, wait); }

private:
    FakeSource& m_source;
};

struct FollowerFixture {
    asio::io_context io;
    FakeSource store;
    std::map<std::string, FakeSource> peers;
    StoreReplica replica;
    FleetView fleet { "self", 100 };
    StoreFollower follower;
    int outages = 0;
    /// Without a time for an outage that only this instance noticed.
    std::vector<std::optional<BootTime>> outageEnds;
    std::string value;

    explicit FollowerFixture(StoreFollowerOptions options = { .failureDomain = "north", .maxDirectReaders = 0, .callInterval = Milliseconds(20), .staleAge = Milliseconds(300) })
        : follower(store, replica, fleet, std::move(options), [this](const InstanceRecord& peer) { return std::make_unique<PeerStoreProxy>(peers[peer.name]); })
    {
        follower.setStoreLostListener([this] { ++outages; });
        follower.setStoreRegainedListener([this](std::optional<BootTime> at) { outageEnds.push_back(at); });
        replica.setChangeListener([this](const std::string&, const std::optional<std::string>& newValue) { value = newValue.value_or(""); });
    }

    void addPeer(const std::string& name, int cpuMillicores = 0)
    {
        fleet.onRegistered(name, { .name = name, .failureDomain = "south", .cpuMillicores = cpuMillicores });
        fleet.onReport({ .instance = name, .sequence = 1 }, Clock::now());
        peers[name];
    }

    /// The peers are alive and say so.
    Awaitable<> reportForPeers()
    {
        for (std::int64_t sequence = 2;; ++sequence) {
            for (const auto& [name, source] : peers)
                fleet.onReport({ .instance = name, .sequence = sequence }, Clock::now());
            co_await sleepFor(Milliseconds(100));
        }
    }

    void run(Milliseconds time)
    {
        asio::co_spawn(io, follower.followStore(), asio::detached);
        asio::co_spawn(io, follower.followPeers(), asio::detached);
        io.run_for(time);
    }
};

}

Test(StoreFollower, storeUnreachable_followsPeer)
{
    FollowerFixture f;
    f.addPeer("other");
    f.store.reachable = false;
    f.peers["other"].value = "from peer";
    f.run(Milliseconds(400));
    cr_expect(f.value == "from peer");
    cr_expect(f.follower.source() == StoreSource::Peer);
    cr_expect(f.outages == 1);
    cr_expect(!f.follower.reachable());
}

Test(StoreFollower, stalePeer_isSkipped)
{
    FollowerFixture f;
    f.addPeer("stale");
    f.addPeer("fresh");
    f.store.reachable = false;
    f.peers["stale"].age = Seconds(30);
    f.peers["stale"].revision = 4;
    f.peers["fresh"].value = "new";
    f.run(Milliseconds(800));
    cr_expect(f.value == "new");
    cr_expect(f.replica.age(BootClock::now()) < Seconds(1));
}

Test(StoreFollower, noSourceReachable_replicaAgesAndKeepsEntries)
{
    FollowerFixture f;
    f.replica.applyListing({ .entries = { { .key = "k", .value = "x", .version = 3 } }, .revision = { .number = 3 } }, BootClock::now());
    f.store.reachable = false;
    f.run(Milliseconds(350));
    cr_expect(f.replica.age(BootClock::now()) >= Milliseconds(300));
    cr_expect(f.value == "x", "entries are kept");
}

/// Guards against CONFIG: the store was taken for unreachable until its revision had passed the one read before.
Test(StoreFollower, storeRestoredFromCopy_isFollowedAtOnce)
{
    FollowerFixture f;
    f.replica.applyListing({ .entries = { { .key = "k", .value = "lost", .version = 90 } }, .revision = { .era = 1, .number = 100 } }, BootClock::now());
    f.store.era = 2;
    f.store.value = "copied";
    f.run(Milliseconds(1400));
    cr_expect(f.value == "copied");
    cr_expect(f.follower.reachable());
    cr_expect(f.outages == 0 && f.outageEnds.empty());
    cr_expect(f.follower.rejectedListings() == 0);
}

/// Guards against CONFIG: a peer of an earlier era confirmed entries that the store no longer has.
Test(StoreFollower, peerOfEarlierEra_confirmsNothing)
{
    FollowerFixture f;
    f.addPeer("behind");
    f.replica.applyListing({ .entries = { { .key = "k", .value = "new", .version = 3 } }, .revision = { .era = 2, .number = 3 } }, BootClock::now());
    f.store.reachable = false;
    f.peers["behind"].era = 1;
    f.peers["behind"].revision = 100;
    f.run(Milliseconds(350));
    cr_expect(f.value == "new");
    cr_expect(f.replica.age(BootClock::now()) >= Milliseconds(300));
}

/// Guards against CONFIG: with both readers of the fleet cut off from the store, an instance took longer than the bound to read it itself.
Test(StoreFollower, allReadersLoseTheStore_changeIsReadInTime)
{
    constexpr Milliseconds configurationTime { 2000 };
    FollowerFixture f({ .failureDomain = "north", .maxDirectReaders = 0, .staleAge = staleAgeFor(configurationTime) });
    auto now = BootClock::now();
    for (const char* reader : { "first", "second" }) {
        f.addPeer(reader, 1000);
        f.peers[reader].lostStoreAt = now;
    }
    asio::co_spawn(f.io, f.reportForPeers(), asio::detached);
    f.replica.applyListing({ .entries = { { .key = "k", .value = "old", .version = 5 } }, .revision = { .number = 5 } }, now);
    f.store.revision = 6;
    f.store.value = "new";
    f.run(configurationTime);
    cr_expect(f.value == "new");
}

/// Guards against DRAIN: an instance whose own calls had failed once took removals for expired leases, although its peers read the store.
Test(StoreFollower, onlyOwnCallsFail_storeWasNotLost)
{
    FollowerFixture f;
    f.addPeer("other");
    f.replica.applyListing({ .entries = { { .key = "k", .value = "old", .version = 5 } }, .revision = { .number = 5 } }, BootClock::now());
    f.store.reachable = false;
    f.run(Milliseconds(1500));
    cr_expect(f.outages == 1);
    cr_assert(f.outageEnds.size() == 1);
    cr_expect(!f.outageEnds.front());
    cr_expect(!f.follower.outageEnd(), "followers of this instance need not wait for expired entries");
}

/// Guards against lost engines: a follower that made no calls removed entries at once that had expired while the store was away.
Test(StoreFollower, sourceNoticedAnOutage_followerLearnsOfItOnce)
{
    FollowerFixture f({ .failureDomain = "north", .maxDirectReaders = 0, .callInterval = Milliseconds(20) });
    f.addPeer("first", 1000);
    f.addPeer("second", 1000);
    f.peers["first"].sinceOutage = Milliseconds(700);
    f.peers["second"].sinceOutage = Milliseconds(700);
    f.replica.applyListing({ .entries = { { .key = "k", .value = "old", .version = 5 } }, .revision = { .number = 5 } }, BootClock::now());
    auto startedAt = BootClock::now();
    f.run(Milliseconds(300));
    cr_expect(f.outages == 0);
    cr_assert(f.outageEnds.size() == 1);
    cr_assert(f.outageEnds.front().has_value());
    cr_expect(*f.outageEnds.front() < startedAt);
    cr_expect(f.follower.outageEnd() == f.outageEnds.front());
}
