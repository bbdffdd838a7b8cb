#pragma once

#include "fleet/fleetview.h"
#include "fleet/storereplica.h"
#include "net/nettypes.h"

#include <memory>

namespace guavaspan {

/// The source of the replica's last update.
enum class StoreSource {
    None,
    Store,
    Peer,
};

std::string_view toString(StoreSource);

struct StoreFollowerOptions {
    std::string failureDomain;
    /// Up to this fleet size every instance reads the store itself.
    int maxDirectReaders = 4;
    /// Minimum time between the starts of two calls, which limits their rate.
    Milliseconds callInterval { 180 };
    /// Time that a watch call waits for a change; also bounds the age of the replica's last confirmation.
    Milliseconds watchWait { 500 };
    /// Age of the replica from which an instance also tries other sources than its usual one.
    Milliseconds staleAge { 1400 };
};

/// The age from which a copy counts as stale so that a change is still in force in time if the copy has to come from elsewhere then.
Milliseconds staleAgeFor(Milliseconds configurationTime);

/// Options with which a change is in force at all instances within the time, also if a copy has to come from elsewhere.
StoreFollowerOptions followerOptionsFor(Milliseconds configurationTime, std::string failureDomain);

/// Keeps the replica current: from the store, or from a peer if the store is unreachable
/// or other instances read it for the fleet.
class StoreFollower {
public:
    /// Called when the store becomes unavailable, as far as this instance knows.
    using StoreLostListener = std::function<void()>;
    /// Called when the store is known to be available again, be it to a peer, before the changes since are applied. Without a time only
    /// the calls of this instance have failed.
    using StoreRegainedListener = std::function<void(std::optional<BootTime> at)>;
    using PeerStoreFactory = std::function<std::unique_ptr<IWatchableStore>(const InstanceRecord&)>;

    StoreFollower(IWatchableStore&, StoreReplica&, const FleetView&, StoreFollowerOptions, PeerStoreFactory);

    /// Called with the first listing of the store before it is applied, to add what the store has lost.
    using FirstListingHook = std::function<Awaitable<>(StoreListing&)>;
    void setFirstListingHook(FirstListingHook hook) { m_firstListingHook = std::move(hook); }

    void setStoreLostListener(StoreLostListener listener) { m_storeLostListener = std::move(listener); }
    void setStoreRegainedListener(StoreRegainedListener listener) { m_storeRegainedListener = std::move(listener); }

    /// Both loops run concurrently, so that a store that does not respond does not delay updates from a peer.
    Awaitable<> followStore();
    Awaitable<> followPeers();

    /// False while this instance's calls to the store fail.
    bool reachable() const { return m_reachable; }
    /// End of the last outage that this instance or its source noticed.
    std::optional<BootTime> outageEnd() const { return m_outageEnd; }
    StoreSource source() const { return m_source; }
    std::uint64_t storeCalls() const { return m_storeCalls; }
    /// Listings that were not applied because the replica was ahead of them.
    std::uint64_t rejectedListings() const { return m_rejectedListings; }

private:
    enum class UpdateResult {
        Current,
        HistoryLost,
        Failed,
    };

    /// What a source says of itself in its answer.
    struct SourceState {
        StoreSource source = StoreSource::None;
        BootTime confirmedAt;
        std::optional<Clock::duration> sinceOutage;
    };

    Awaitable<UpdateResult> updateFrom(IWatchableStore&, StoreSource, bool relist);
    Awaitable<UpdateResult> updateFromStore();
    Awaitable<UpdateResult> updateFromPeer();
    void onSourceAnswered(const SourceState&);
    void onListingRejected(const StoreListing&);
    bool readsStore() const;
    bool storeStatesEras() const;
    bool stale() const;
    std::vector<InstanceRecord> possibleSources() const;
    Milliseconds watchWait() const;
    int fleetSizeFactor() const;
    Clock::duration peerRetryDelay() const;
    void setReachable(bool reachable);
    void onStoreRegained(std::optional<BootTime> at);

    IWatchableStore& m_store;
    StoreReplica& m_replica;
    const FleetView& m_fleet;
    StoreFollowerOptions m_options;
    PeerStoreFactory m_makePeerStore;
    StoreLostListener m_storeLostListener;
    StoreRegainedListener m_storeRegainedListener;
    FirstListingHook m_firstListingHook;
    bool m_reachable = true;
    /// When the store became unavailable, until it is known to be available again.
    std::optional<BootTime> m_outageBegin;
    std::optional<BootTime> m_outageEnd;
    bool m_relistStore = false;
    bool m_relistPeer = false;
    TimePoint m_storeRetryAt;
    /// Consecutive failed calls to the store, counted only up to the maximum retry delay.
    int m_consecutiveFailures = 0;
    std::size_t m_nextPeer = 0;
    int m_consecutivePeerFailures = 0;
    StoreSource m_source = StoreSource::None;
    std::uint64_t m_storeCalls = 0;
    std::uint64_t m_rejectedListings = 0;
    /// The last listing was rejected, so that a series of rejections is logged once.
    bool m_rejectsListings = false;
};

}
