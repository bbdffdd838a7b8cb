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
    int directReaders = 12;
    /// Shortest time between two calls, which bounds their number.
    Milliseconds callInterval { 120 };
    /// Time that a call waits for a change; it also bounds the age of the confirmation.
    Milliseconds watchWait { 1000 };
};

/// Keeps the replica current: from the store, or from a peer where the store
/// is out of reach or others read it for this failure domain.
class StoreFollower {
public:
    /// Called when the store is lost or regained.
    using ContactListener = std::function<void(bool reachable)>;
    using PeerSource = std::function<std::unique_ptr<IWatchedStore>(const InstanceRecord&)>;

    StoreFollower(IWatchedStore&, StoreReplica&, const FleetView&, StoreFollowerOptions, PeerSource);

    void onContact(ContactListener listener) { m_contact = std::move(listener); }
    Awaitable<> run();

    StoreSource source() const { return m_source; }
    std::uint64_t storeCalls() const { return m_storeCalls; }

private:
    Awaitable<bool> updateFrom(IWatchedStore&);
    Awaitable<bool> updateFromStore();
    Awaitable<bool> updateFromPeer();
    bool shouldReadStore() const;
    void setContact(bool reachable);

    IWatchedStore& m_store;
    StoreReplica& m_replica;
    const FleetView& m_fleet;
    StoreFollowerOptions m_options;
    PeerSource m_peerSource;
    ContactListener m_contact;
    bool m_reachable = true;
    bool m_listAnew = false;
    TimePoint m_storeRetryAt;
    std::size_t m_nextPeer = 0;
    StoreSource m_source = StoreSource::None;
    std::uint64_t m_storeCalls = 0;
};

}
