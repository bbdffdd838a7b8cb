#include "fleet/storefollower.h"

#include "common/log.h"

namespace guavaspan {

namespace {

    /// Pause after a failed call.
    constexpr auto failurePause = Milliseconds(100);
    /// Time in which a new instance hears of its peers: two of their reports.
    constexpr auto acquaintanceTime = Milliseconds(1200);
    /// Pause before a store that failed is asked again; it grows with each failure in a row up to so many times.
    constexpr auto storeRetryPause = Milliseconds(500);
    constexpr int mostRetryPauses = 3;

}

std::string_view toString(StoreSource source)
{
    switch (source) {
    case StoreSource::None:
        return "none";
    case StoreSource::Store:
        return "store";
    case StoreSource::Peer:
        return "peer";
    }
    return "none";
}

StoreFollower::StoreFollower(IWatchableStore& store, StoreReplica& replica, const FleetView& fleet, StoreFollowerOptions options, PeerStoreFactory peerSource)
    : m_store(store)
    , m_replica(replica)
    , m_fleet(fleet)
    , m_options(std::move(options))
    , m_peerSource(std::move(peerSource))
{
}

bool StoreFollower::stale() const
{
    return m_replica.age(BootClock::now()) > m_options.staleAge;
}

bool StoreFollower::readsStore() const
{
    if (!m_replica.loaded() || m_fleet.instanceCount() <= m_options.maxDirectReaders || stale())
        return true;
    return m_fleet.readsStore(Clock::now());
}

void StoreFollower::setContact(bool reachable)
{
    if (reachable == m_reachable)
        return;
    m_reachable = reachable;
    logEvent(reachable ? LogLevel::Info : LogLevel::Warning, reachable ? "store_regained" : "store_lost",
        { { "revision", m_replica.revision() }, { "age_ms", std::chrono::duration_cast<Milliseconds>(m_replica.age(BootClock::now())).count() } });
    if (m_contact)
        m_contact(reachable);
}

Awaitable<StoreFollower::Update> StoreFollower::updateFrom(IWatchableStore& source, bool relist)
{
    auto askedAt = BootClock::now();
    std::string everything;
    if (!m_replica.loaded() || relist) {
        auto listing = co_await source.listAll(everything);
        // A source that lags behind this copy has nothing to give.
        if (!listing || (m_replica.loaded() && listing->revision < m_replica.revision()))
            co_return Update::Failed;
        // The entries were current at some moment after the call was sent, less what the source says.
        m_replica.applyListing(*listing, askedAt - listing->age);
        co_return Update::Current;
    }
    auto changes = co_await source.watch(everything, m_replica.revision(), m_options.watchWait);
    if (!changes)
        co_return Update::Failed;
    if (changes->historyLost)
        co_return Update::HistoryLost;
    m_replica.applyChanges(*changes, askedAt - changes->age);
    co_return Update::Current;
}

Awaitable<> StoreFollower::updateFromStore()
{
    ++m_storeCalls;
    auto update = co_await updateFrom(m_store, m_listAnew);
    // A listing that fails leaves the wish to list; a watch that fails tells nothing of the history.
    if (update != Update::Failed)
        m_listAnew = update == Update::HistoryLost;
    setContact(update != Update::Failed);
    if (update == Update::Failed) {
        // While all instances are cut off, any one that gets through serves the others.
        m_failures = std::min(m_failures + 1, mostRetryPauses);
        m_storeRetryAt = Clock::now() + m_failures * storeRetryPause;
        co_return;
    }
    m_failures = 0;
    m_source = StoreSource::Store;
}

/// Gives true if the peer brought the copy up to date.
Awaitable<bool> StoreFollower::updateFromPeer()
{
    // Where the readers are cut off too, anybody may be the one who still reaches the store.
    auto now = Clock::now();
    auto peers = stale() ? m_fleet.reachablePeers(now) : m_fleet.storeReaders(m_options.failureDomain, now);
    if (peers.empty())
        peers = m_fleet.peers();
    if (peers.empty())
        co_return false;
    auto source = m_peerSource(peers[m_nextPeer % peers.size()]);
    auto update = co_await updateFrom(*source, m_listAnewFromPeer);
    m_listAnewFromPeer = update == Update::HistoryLost;
    if (update == Update::Failed || stale()) {
        // Another reader may still reach the store.
        ++m_nextPeer;
        co_return false;
    }
    m_source = StoreSource::Peer;
    co_return true;
}

Awaitable<> StoreFollower::followStore()
{
    auto beganAt = Clock::now();
    bool hadListing = false;
    while (true) {
        auto startedAt = Clock::now();
        // All instances begin together, and none knows yet which of them will read for the others.
        if (m_replica.loaded() && !hadListing && startedAt < beganAt + acquaintanceTime) {
            co_await sleepFor(beganAt + acquaintanceTime - startedAt);
            hadListing = true;
            continue;
        }
        if (startedAt >= m_storeRetryAt && readsStore())
            co_await updateFromStore();
        auto next = startedAt + m_options.callInterval;
        if (Clock::now() < next)
            co_await sleepFor(next - Clock::now());
    }
}

Awaitable<> StoreFollower::followPeers()
{
    while (true) {
        auto startedAt = Clock::now();
        bool needed = m_replica.loaded() ? (!readsStore() || stale() || !m_reachable) : !m_reachable;
        bool updated = needed && co_await updateFromPeer();
        auto next = startedAt + m_options.callInterval;
        if (needed && !updated)
            next = std::max<TimePoint>(next, Clock::now() + failurePause);
        if (Clock::now() < next)
            co_await sleepFor(next - Clock::now());
    }
}

}
