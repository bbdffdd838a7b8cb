#include "fleet/storefollower.h"

#include "common/hash.h"
#include "common/log.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Minimum delay after a failed update from a peer; in a large fleet multiplied by the number of failures up to a limit.
    constexpr auto failedUpdateDelay = Milliseconds(100);
    constexpr int maxPeerDelayFactor = 4;
    /// Time for a new instance to discover its peers: two of their report intervals.
    constexpr auto peerDiscoveryTime = Milliseconds(1200);
    /// Delay before a store is called again whose call failed for the first time, such as a watch that was cut.
    constexpr auto firstStoreRetryDelay = Milliseconds(100);
    /// Delay after further failures, multiplied by their number up to a limit.
    constexpr auto storeRetryDelay = Milliseconds(500);
    constexpr int maxRetryDelayFactor = 2;
    /// Time for a copy that is stale to become current from another source, and for what it brings to be applied.
    constexpr auto fallbackTime = Milliseconds(600);
    constexpr auto minStaleAge = Milliseconds(500);
    constexpr auto minTimeBetweenOutages = Milliseconds(500);
    /// Shares of the time within which a change must be in force.
    constexpr double callIntervalShare = 0.09;
    constexpr double watchWaitShare = 0.25;
    /// Instances of a large fleet that together call an unreachable store as often as one instance of a small fleet.
    constexpr int instancesPerRetryDelay = 100;

    Clock::duration storeRetryDelayAfter(int consecutiveFailures)
    {
        return consecutiveFailures <= 1 ? firstStoreRetryDelay : (consecutiveFailures - 1) * storeRetryDelay;
    }

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

Milliseconds staleAgeFor(Milliseconds configurationTime)
{
    return std::max(minStaleAge, configurationTime - fallbackTime);
}

StoreFollowerOptions followerOptionsFor(Milliseconds configurationTime, std::string failureDomain)
{
    auto shareOf = [&](double share) { return Milliseconds(static_cast<std::int64_t>(share * static_cast<double>(configurationTime.count()))); };
    StoreFollowerOptions options { .failureDomain = std::move(failureDomain) };
    options.callInterval = std::max(options.callInterval, shareOf(callIntervalShare));
    options.watchWait = std::max(options.watchWait, shareOf(watchWaitShare));
    options.staleAge = staleAgeFor(configurationTime);
    return options;
}

StoreFollower::StoreFollower(IWatchableStore& store, StoreReplica& replica, const FleetView& fleet, StoreFollowerOptions options, PeerStoreFactory makePeerStore)
    : m_store(store)
    , m_replica(replica)
    , m_fleet(fleet)
    , m_options(std::move(options))
    , m_makePeerStore(std::move(makePeerStore))
{
}

/// All others of a large fleet follow the aggregators, so these look for another source sooner.
bool StoreFollower::stale() const
{
    auto staleAge = m_fleet.aggregates() ? m_options.staleAge / 2 : m_options.staleAge;
    return m_replica.age(BootClock::now()) > staleAge;
}

Milliseconds StoreFollower::watchWait() const
{
    return m_fleet.aggregates() ? m_options.watchWait / 2 : m_options.watchWait;
}

/// By how much an instance of a large fleet calls an unreachable store less often: the first one that reaches it serves the others.
int StoreFollower::fleetSizeFactor() const
{
    return m_fleet.usesSummaries() && !m_fleet.aggregates() ? 1 + m_fleet.instanceCount() / instancesPerRetryDelay : 1;
}

bool StoreFollower::storeStatesEras() const
{
    return m_replica.revision().era > 0;
}

bool StoreFollower::readsStore() const
{
    if (!m_replica.loaded() || m_fleet.instanceCount() <= m_options.maxDirectReaders || stale())
        return true;
    return m_fleet.readsStore(Clock::now(), storeStatesEras());
}

void StoreFollower::setReachable(bool reachable)
{
    if (reachable == m_reachable)
        return;
    m_reachable = reachable;
    logEvent(reachable ? LogLevel::Info : LogLevel::Warning, reachable ? "store_regained" : "store_lost",
        { { "era", m_replica.revision().era }, { "revision", m_replica.revision().number }, { "age_ms", std::chrono::duration_cast<Milliseconds>(m_replica.age(BootClock::now())).count() } });
    if (reachable)
        return;
    m_outageBegin = BootClock::now();
    if (m_storeLostListener)
        m_storeLostListener();
}

/// Without a time the store was not away, only the calls of this instance failed.
void StoreFollower::onStoreRegained(std::optional<BootTime> at)
{
    auto sinceOutage = at ? std::chrono::duration_cast<Milliseconds>(BootClock::now() - *at).count() : -1;
    logEvent(LogLevel::Info, "store_outage_ended", { { "noticed_here", m_outageBegin.has_value() }, { "store_was_away", at.has_value() }, { "ended_ms_ago", sinceOutage } });
    m_outageBegin.reset();
    if (at)
        m_outageEnd = at;
    if (m_storeRegainedListener)
        m_storeRegainedListener(at);
}

/// The calls of this instance may go on failing although the store is available to others, and a follower that makes no calls
/// learns of an outage from its source only.
void StoreFollower::onSourceAnswered(const SourceState& state)
{
    m_source = state.source;
    auto now = BootClock::now();
    if (state.source == StoreSource::Store) {
        setReachable(true);
        if (m_outageBegin)
            onStoreRegained(now);
        return;
    }
    auto outageEnd = state.sinceOutage ? std::optional(now - *state.sinceOutage) : std::nullopt;
    // The time that an answer takes to arrive makes the same outage seem to end later.
    bool isNews = outageEnd && (!m_outageEnd || *m_outageEnd + minTimeBetweenOutages < *outageEnd);
    bool confirmedSince = m_outageBegin && state.confirmedAt > *m_outageBegin;
    if (isNews)
        onStoreRegained(outageEnd);
    else if (confirmedSince)
        onStoreRegained(std::nullopt);
}

Clock::duration StoreFollower::peerRetryDelay() const
{
    int factor = m_fleet.usesSummaries() ? std::clamp(m_consecutivePeerFailures, 1, maxPeerDelayFactor) : 1;
    return factor * failedUpdateDelay;
}

Awaitable<StoreFollower::UpdateResult> StoreFollower::updateFrom(IWatchableStore& source, StoreSource kind, bool relist)
{
    auto calledAt = BootClock::now();
    std::string emptyPrefix;
    if (!m_replica.loaded() || relist) {
        auto listing = co_await source.listAll(emptyPrefix);
        if (!listing)
            co_return UpdateResult::Failed;
        // A source that lags behind this replica has nothing newer.
        if (m_replica.loaded() && listing->revision < m_replica.revision()) {
            onListingRejected(*listing);
            co_return UpdateResult::Failed;
        }
        m_rejectsListings = false;
        if (!m_replica.loaded() && m_firstListingHook)
            co_await m_firstListingHook(*listing);
        // The source computed the age after this call began, so subtracting it from the time of the call gives a
        // time no later than the one at which the entries were last confirmed to be current.
        auto confirmedAt = calledAt - listing->age;
        onSourceAnswered({ .source = kind, .confirmedAt = confirmedAt, .sinceOutage = listing->sinceOutage });
        m_replica.applyListing(*listing, confirmedAt);
        co_return UpdateResult::Current;
    }
    auto changes = co_await source.watch(emptyPrefix, m_replica.revision(), watchWait());
    if (!changes)
        co_return UpdateResult::Failed;
    // A source of an earlier era has nothing newer.
    if (changes->revision.era < m_replica.revision().era)
        co_return UpdateResult::Failed;
    bool isBehind = kind == StoreSource::Peer && changes->revision < m_replica.revision();
    if (isBehind)
        co_return UpdateResult::Failed;
    if (changes->historyLost || changes->revision.era > m_replica.revision().era)
        co_return UpdateResult::HistoryLost;
    auto confirmedAt = std::min(calledAt + changes->waited, BootClock::now()) - changes->age;
    onSourceAnswered({ .source = kind, .confirmedAt = confirmedAt, .sinceOutage = changes->sinceOutage });
    m_replica.applyChanges(*changes, confirmedAt);
    co_return UpdateResult::Current;
}

void StoreFollower::onListingRejected(const StoreListing& listing)
{
    ++m_rejectedListings;
    if (std::exchange(m_rejectsListings, true))
        return;
    logEvent(LogLevel::Warning, "store_listing_rejected",
        { { "offered_era", listing.revision.era }, { "offered_revision", listing.revision.number }, { "era", m_replica.revision().era }, { "revision", m_replica.revision().number }, { "offered_age_ms", std::chrono::duration_cast<Milliseconds>(listing.age).count() }, { "age_ms", std::chrono::duration_cast<Milliseconds>(m_replica.age(BootClock::now())).count() } });
}

Awaitable<StoreFollower::UpdateResult> StoreFollower::updateFromStore()
{
    ++m_storeCalls;
    auto result = co_await updateFrom(m_store, StoreSource::Store, m_relistStore);
    // After a failure a listing is sure to bring the latest state, whatever became of the history and however much has changed.
    m_relistStore = result != UpdateResult::Current;
    setReachable(result != UpdateResult::Failed);
    if (result == UpdateResult::Failed) {
        // An unreachable store is called less often: if no instance reaches it, the first one that does serves the others.
        m_consecutiveFailures = std::min(m_consecutiveFailures + 1, maxRetryDelayFactor + 1);
        m_storeRetryAt = Clock::now() + fleetSizeFactor() * storeRetryDelayAfter(m_consecutiveFailures);
        co_return result;
    }
    m_consecutiveFailures = 0;
    co_return result;
}

/// If the replica is stale, the readers are probably cut off too, and any peer may still reach the store. Each instance then has an
/// order of its own, so that not all ask the same peer.
std::vector<InstanceRecord> StoreFollower::possibleSources() const
{
    auto now = Clock::now();
    auto peers = stale() ? m_fleet.reachablePeers(now) : m_fleet.storeReaders(m_options.failureDomain, now, storeStatesEras());
    if (peers.empty())
        peers = m_fleet.peers();
    if (m_fleet.usesSummaries() && stale()) {
        auto weight = [&](const InstanceRecord& peer) { return rendezvousWeight(m_fleet.self(), peer.name); };
        std::sort(peers.begin(), peers.end(), [&](const InstanceRecord& left, const InstanceRecord& right) { return weight(left) < weight(right); });
    }
    return peers;
}

Awaitable<StoreFollower::UpdateResult> StoreFollower::updateFromPeer()
{
    auto peers = possibleSources();
    if (peers.empty())
        co_return UpdateResult::Failed;
    auto source = m_makePeerStore(peers[m_nextPeer % peers.size()]);
    auto result = co_await updateFrom(*source, StoreSource::Peer, m_relistPeer);
    m_relistPeer = result == UpdateResult::HistoryLost;
    if (result == UpdateResult::Current && stale())
        result = UpdateResult::Failed;
    if (result == UpdateResult::Failed) {
        // The next call goes to another peer, which may still reach the store.
        ++m_nextPeer;
        ++m_consecutivePeerFailures;
    } else {
        m_consecutivePeerFailures = 0;
    }
    co_return result;
}

Awaitable<> StoreFollower::followStore()
{
    auto followingSince = Clock::now();
    bool peersDiscovered = false;
    while (true) {
        auto startedAt = Clock::now();
        // Instances may start at the same time, before they have discovered which of them read the store for the others.
        if (m_replica.loaded() && !peersDiscovered && startedAt < followingSince + peerDiscoveryTime) {
            co_await sleepFor(followingSince + peerDiscoveryTime - startedAt);
            peersDiscovered = true;
            continue;
        }
        auto result = UpdateResult::Current;
        if (startedAt >= m_storeRetryAt && readsStore())
            result = co_await updateFromStore();
        if (result == UpdateResult::HistoryLost)
            continue;
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
        auto result = UpdateResult::Current;
        if (needed)
            result = co_await updateFromPeer();
        if (result == UpdateResult::HistoryLost)
            continue;
        auto next = startedAt + m_options.callInterval;
        if (result == UpdateResult::Failed)
            next = std::max<TimePoint>(next, Clock::now() + peerRetryDelay());
        if (Clock::now() < next)
            co_await sleepFor(next - Clock::now());
    }
}

}
