#include "fleet/storefollower.h"

#include "common/log.h"

namespace guavaspan {

namespace {

    /// Pause after a failed call.
    constexpr auto failurePause = Milliseconds(100);
    /// Pause before a store that failed is asked again while a peer serves.
    constexpr auto storeRetryPause = Milliseconds(500);

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

StoreFollower::StoreFollower(IWatchedStore& store, StoreReplica& replica, const FleetView& fleet, StoreFollowerOptions options, PeerSource peerSource)
    : m_store(store)
    , m_replica(replica)
    , m_fleet(fleet)
    , m_options(std::move(options))
    , m_peerSource(std::move(peerSource))
{
}

bool StoreFollower::shouldReadStore() const
{
    auto now = Clock::now();
    if (now < m_storeRetryAt)
        return false;
    if (!m_replica.loaded() || m_fleet.instances() <= m_options.directReaders)
        return true;
    return m_fleet.readsStore(m_options.failureDomain, now);
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

Awaitable<bool> StoreFollower::updateFrom(IWatchedStore& source)
{
    auto askedAt = BootClock::now();
    std::string everything;
    if (!m_replica.loaded() || m_listAnew) {
        auto listing = co_await source.listAll(everything);
        if (!listing)
            co_return false;
        // A peer that lags behind this copy has nothing to give.
        if (m_replica.loaded() && listing->revision < m_replica.revision())
            co_return false;
        // The entries were current at some moment after the call was sent, less what the source says.
        m_replica.applyListing(*listing, askedAt - listing->age);
        m_listAnew = false;
        co_return true;
    }
    auto changes = co_await source.watch(everything, m_replica.revision(), m_options.watchWait);
    if (!changes)
        co_return false;
    if (changes->historyLost) {
        m_listAnew = true;
        co_return true;
    }
    m_replica.applyChanges(*changes, askedAt - changes->age);
    co_return true;
}

Awaitable<bool> StoreFollower::updateFromStore()
{
    ++m_storeCalls;
    bool listsAnew = m_listAnew || !m_replica.loaded();
    bool updated = co_await updateFrom(m_store);
    if (updated) {
        m_source = StoreSource::Store;
        setContact(true);
        co_return true;
    }
    // A listing that fails leaves the wish to list; a watch that fails tells nothing of the history.
    m_listAnew = listsAnew;
    setContact(false);
    m_storeRetryAt = Clock::now() + storeRetryPause;
    co_return false;
}

Awaitable<bool> StoreFollower::updateFromPeer()
{
    auto peers = m_fleet.reachablePeers(Clock::now());
    if (peers.empty())
        peers = m_fleet.peers();
    if (peers.empty())
        co_return false;
    auto source = m_peerSource(peers[m_nextPeer++ % peers.size()]);
    bool listAnew = m_listAnew;
    bool updated = co_await updateFrom(*source);
    if (!updated) {
        m_listAnew = listAnew;
        co_return false;
    }
    --m_nextPeer;
    m_source = StoreSource::Peer;
    co_return true;
}

Awaitable<> StoreFollower::run()
{
    while (true) {
        auto startedAt = Clock::now();
        bool updated = shouldReadStore() ? co_await updateFromStore() : co_await updateFromPeer();
        auto next = startedAt + m_options.callInterval;
        if (!updated)
            next = std::max(next, Clock::now() + failurePause);
        if (Clock::now() < next)
            co_await sleepFor(next - Clock::now());
    }
}

}
