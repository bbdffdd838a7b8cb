#pragma once

#include "fleet/fleetview.h"
#include "fleet/storereplica.h"
#include "net/nettypes.h"

#include <memory>

namespace guavaspan {

/// Where the replica was last updated from.
enum class StoreSource {
    None,
    Store,
    Peer,
};

std::string_view toString(StoreSource);

struct StoreFollowerOptions {
    std::string failureDomain;
    /// Every instance reads the store itself while there are no more than this.
    int maxDirectReaders = 4;
    /// Shortest time between two calls, which bounds their number.
    Milliseconds callInterval { 180 };
    /// Time that a call waits for a change; it also bounds the age of the confirmation.
    Milliseconds watchWait { 700 };
    /// Age from which an instance looks for another source than its usual one.
    Milliseconds staleAge { 2000 };
};

/// Keeps the replica current: from the store, or from a peer where the store
/// is out of reach or others read it for this failure domain.
class StoreFollower {
public:
    /// Called when the store is lost or regained.
    using ReachabilityListener = std::function<void(bool reachable)>;
    using PeerStoreFactory = std::function<std::unique_ptr<IWatchableStore>(const InstanceRecord&)>;

    StoreFollower(IWatchableStore&, StoreReplica&, const FleetView&, StoreFollowerOptions, PeerStoreFactory);

    void onReachabilityChanged(ReachabilityListener listener) { m_contact = std::move(listener); }

    /// Both run side by side, so that a silent store does not keep a peer's news away.
    Awaitable<> followStore();
    Awaitable<> followPeers();

    /// False while this instance's own calls to the store fail.
    bool reachable() const { return m_reachable; }
    StoreSource source() const { return m_source; }
    std::uint64_t storeCalls() const { return m_storeCalls; }

private:
    enum class Update {
        Current,
        HistoryLost,
        Failed,
    };

    Awaitable<Update> updateFrom(IWatchableStore&, bool relist);
    Awaitable<> updateFromStore();
    Awaitable<bool> updateFromPeer();
    bool readsStore() const;
    bool stale() const;
    void setContact(bool reachable);

    IWatchableStore& m_store;
    StoreReplica& m_replica;
    const FleetView& m_fleet;
    StoreFollowerOptions m_options;
    PeerStoreFactory m_peerSource;
    ReachabilityListener m_contact;
    bool m_reachable = true;
    bool m_listAnew = false;
    bool m_listAnewFromPeer = false;
    TimePoint m_storeRetryAt;
    /// Calls to the store that failed in a row.
    int m_failures = 0;
    std::size_t m_nextPeer = 0;
    StoreSource m_source = StoreSource::None;
    std::uint64_t m_storeCalls = 0;
};

}
