#pragma once

#include "fleet/fleettypes.h"

#include <map>
#include <set>

namespace guavaspan {

/// Registered instances, and when each last reported its load.
class FleetView {
public:
    /// `cpuMillicores` is this instance's CPU quota.
    FleetView(std::string self, int cpuMillicores)
        : m_self(std::move(self))
        , m_cpuMillicores(cpuMillicores)
    {
    }

    void onRegistered(const std::string& key, InstanceRecord);
    void onUnregistered(const std::string& key, TimePoint now);

    /// The store came back from a copy. Instances that the copy lacks stay registered until they have had time to
    /// register again.
    void onStoreRestored(TimePoint now);

    /// Removes instances that did not register again in time.
    void onTick(TimePoint now);

    /// Returns true if the report is newer than the last one of its instance.
    bool onReport(const InstanceLoadReport&, TimePoint now);

    /// Peers whose reports stopped since the last call.
    std::vector<std::string> takeUnresponsivePeers(TimePoint now);

    /// All registered instances except this one.
    std::vector<InstanceRecord> peers() const;

    std::vector<std::string> peerNames() const;

    /// Peers whose last report is recent.
    std::vector<InstanceRecord> reachablePeers(TimePoint now) const;

    /// Reachable peers that reach targets of the service and serve requests that are relayed to them.
    std::vector<InstanceRecord> relayingPeers(const std::string& service, TimePoint now) const;

    /// True if the registry has this key.
    bool isRegistered(const std::string& key) const { return m_registered.count(key) > 0; }

    /// Number of registered instances, including this one.
    int instanceCount() const { return static_cast<int>(peers().size()) + 1; }

    /// Peers that read the shared store for the fleet, those in the local failure domain first. If the store states eras, peers
    /// of older versions, which do not know them, do not count.
    std::vector<InstanceRecord> storeReaders(const std::string& localFailureDomain, TimePoint now, bool storeStatesEras) const;

    /// Returns true if this instance is one of the few that read the shared store for the fleet.
    bool readsStore(TimePoint now, bool storeStatesEras) const;

    /// The owner of a service's pool. Among this instance and its reachable peers, those with the
    /// largest CPU quota qualify, and rendezvous hashing selects one. Peers in `excluded` are skipped.
    std::string ownerOf(const std::string& service, const std::set<std::string>& excluded, TimePoint now) const;

    const InstanceRecord* find(const std::string& name) const;

private:
    std::size_t storeReaderCount() const;
    std::vector<InstanceRecord> possibleStoreReaders(TimePoint now, bool storeStatesEras) const;

    struct LastReport {
        std::int64_t sequence = 0;
        TimePoint receivedAt;
        bool relaysForPeers = false;
        std::set<std::string> unreachableServices;
        bool knowsStoreEra = false;
    };

    std::string m_self;
    int m_cpuMillicores = 0;
    /// Until when instances may register again.
    TimePoint m_lostKeysKeptUntil;
    std::map<std::string, InstanceRecord> m_registered;
    /// Keys that a restored store lacks.
    std::set<std::string> m_lostKeys;
    std::map<std::string, LastReport> m_lastReports;
};

}
