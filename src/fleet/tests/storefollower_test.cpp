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
        co_return StoreListing { .entries = { { .key = "k", .value = value, .version = revision } }, .revision = revision, .age = age };
    }

    Awaitable<Result<StoreChanges>> watch(std::string, std::int64_t after, Milliseconds) override
    {
        ++callCount;
        if (!reachable)
            co_return unreachable();
        StoreChanges changes { .revision = revision, .age = age };
        if (after < revision)
            changes.changes.push_back({ .key = "k", .value = value, .revision = revision });
        co_return changes;
    }

    bool reachable = true;
    Clock::duration age {};
    std::string value = "old";
    std::int64_t revision = 5;
    int callCount = 0;

private:
    static Error unreachable() { return { .code = ErrorCode::Unavailable, .step = Step::KeyValue, .peer = "fake" }; }
};

class PeerStoreProxy : public IWatchableStore {
public:
    explicit PeerStoreProxy(FakeSource& source)
        : m_source(source)
    {
    }
    Awaitable<Result<StoreListing>> listAll(std::string prefix) override { return m_source.listAll(std::move(prefix)); }
    Awaitable<Result<StoreChanges>> watch(std::string prefix, std::int64_t after, Milliseconds wait) override { return m_source.watch(std::move(prefix), after, wait); }

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
    std::vector<bool> reachabilityChanges;
    std::string value;

    FollowerFixture()
        : follower(store, replica, fleet, { .failureDomain = "north", .maxDirectReaders = 0, .callInterval = Milliseconds(20), .staleAge = Milliseconds(300) }, [this](const InstanceRecord& peer) { return std::make_unique<PeerStoreProxy>(peers[peer.name]); })
    {
        follower.setReachabilityListener([this](bool reachable) { reachabilityChanges.push_back(reachable); });
        replica.setChangeListener([this](const std::string&, const std::optional<std::string>& newValue) { value = newValue.value_or(""); });
    }

    void addPeer(const std::string& name)
    {
        fleet.onRegistered(name, { .name = name, .failureDomain = "south" });
        fleet.onReport({ .instance = name, .sequence = 1 }, Clock::now());
        peers[name];
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
    cr_assert(!f.reachabilityChanges.empty());
    cr_expect(!f.reachabilityChanges.front());
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
    f.replica.applyListing({ .entries = { { .key = "k", .value = "x", .version = 3 } }, .revision = 3 }, BootClock::now());
    f.store.reachable = false;
    f.run(Milliseconds(350));
    cr_expect(f.replica.age(BootClock::now()) >= Milliseconds(300));
    cr_expect(f.value == "x", "entries are kept");
}
