#pragma once

#include "fleet/aggregatorranking.h"
#include "fleet/instanceregistry.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace guavaspan {

/// Registered instances, which of them respond, and what each of them does for the others.
///
/// In a small fleet every instance reports to all others. In a larger one all report to a few aggregators, from whose summaries
/// the others learn which instances respond.
class FleetView {
public:
    /// `cpuMillicores` is this instance's CPU quota.
    FleetView(std::string self, int cpuMillicores, std::string failureDomain = {})
        : m_self(std::move(self))
        , m_cpuMillicores(cpuMillicores)
        , m_failureDomain(std::move(failureDomain))
    {
    }

    /// Name of this instance.
    const std::string& self() const { return m_self; }

    /// The reports of a new instance are awaited from `now` on.
    void onRegistered(const std::string& key, InstanceRecord, TimePoint now = {});
    void onUnregistered(const std::string& key, TimePoint now);

    /// The store came back from a copy. Instances that the copy lacks stay registered until they have had time to
    /// register again.
    void onStoreRestored(TimePoint now);

    /// Removes instances that did not register again in time, and chooses this instance's aggregators.
    void onTick(TimePoint now);

    /// Returns true if the report is newer than the last one of its instance.
    bool onReport(const InstanceLoadReport&, TimePoint now);

    /// Returns true if the summary is of the aggregator that this instance relies on, and newer than its last one.
    bool onSummary(const FleetSummary&, TimePoint now);

    /// Peers whose reports stopped since the last call.
    std::vector<std::string> takeUnresponsivePeers(TimePoint now);

    /// All registered instances except this one.
    std::vector<InstanceRecord> peers() const;

    std::vector<std::string> peerNames() const;

    /// Peers that responded recently, to this instance or to its aggregator.
    std::vector<InstanceRecord> reachablePeers(TimePoint now) const;

    /// Reachable peers that reach targets of the service and serve requests that are relayed to them.
    std::vector<InstanceRecord> relayingPeers(const std::string& service, TimePoint now) const;

    /// True if the registry has this key.
    bool isRegistered(const std::string& key) const { return m_registry.hasKey(key); }

    /// Number of registered instances, including this one.
    int instanceCount() const;

    /// Peers from which this instance takes its copy of the shared store, in order of preference. If the store states eras, peers
    /// of older versions, which do not know them, do not count.
    std::vector<InstanceRecord> storeReaders(const std::string& localFailureDomain, TimePoint now, bool storeStatesEras) const;

    /// Returns true if this instance is one of the few that read the shared store for the fleet.
    bool readsStore(TimePoint now, bool storeStatesEras) const;

    /// The owner of a service's pool. Among the instances that receive all reports, those with the largest CPU quota qualify, and
    /// rendezvous hashing selects one. Peers in `excluded` are skipped.
    std::string ownerOf(const std::string& service, const std::set<std::string>& excluded, TimePoint now) const;

    /// True if this instance owns the service's pool and most instances report to it, so that no other one can own it for long.
    bool ownsPool(const std::string& service, TimePoint now) const;

    const InstanceRecord* find(const std::string& name) const { return m_registry.find(name); }

    /// True if the fleet is so large that instances report to aggregators only.
    bool usesSummaries() const;

    /// True if this instance is an aggregator.
    bool aggregates() const { return m_aggregatingSince.has_value(); }

    /// Aggregators of the fleet that respond, as far as this instance knows.
    std::vector<std::string> aggregators(TimePoint now) const;

    /// Aggregators whose summaries and broadcasts this instance takes; none in a small fleet and at an aggregator.
    const std::vector<std::string>& ownAggregators() const { return m_ownAggregators; }

    /// Peers to which this instance sends its reports.
    std::vector<std::string> reportRecipients(TimePoint now) const;

    /// Instances that take their summaries from this one; none if no other aggregator reports to it.
    std::vector<std::string> members(TimePoint now) const;
    /// Instances that take broadcasts from this one.
    std::vector<std::string> subscribers(TimePoint now) const;

    /// Registered instances whose reports do not arrive at this aggregator.
    std::set<std::string> silentInstances(TimePoint now) const;
    /// Responding instances that do not serve requests that their peers relay to them.
    std::set<std::string> instancesNotRelaying(TimePoint now) const;
    /// By responding instance, the services whose targets it does not reach.
    std::map<std::string, std::set<std::string>> unreachableServices(TimePoint now) const;

    bool hasRecentSummary(TimePoint now) const;

private:
    struct LastReport {
        std::int64_t sequence = 0;
        TimePoint receivedAt;
        bool relaysForPeers = false;
        std::set<std::string> unreachableServices;
        bool knowsStoreEra = false;
        std::vector<std::string> aggregators;
    };
    template <typename Predicate>
    std::vector<std::string> peerNamesIf(Predicate) const;
    std::size_t storeReaderCount() const;
    std::vector<InstanceRecord> possibleStoreReaders(TimePoint now, bool storeStatesEras) const;
    std::vector<std::string> storeReadingAggregators(TimePoint now, bool storeStatesEras) const;
    std::vector<InstanceRecord> recordsOf(const std::vector<std::string>& names) const;
    bool isRecentlyReported(const std::string& name, TimePoint now) const;
    bool isReachable(const std::string& name, TimePoint now) const;
    bool acceptsSummaryOf(const FleetSummary&, TimePoint now) const;
    bool isUsedAsAggregator(TimePoint now) const;
    bool isMember(const std::vector<std::string>& aggregatorsOfInstance, TimePoint now) const;
    bool mayAggregate(const std::string& name, TimePoint now) const;
    bool awaitsFirstReport(const std::string& name, TimePoint now) const;
    const AggregatorRanking& ranking() const;
    std::vector<std::string> preferredAggregators(TimePoint now) const;
    std::vector<std::string> otherAggregators(TimePoint now) const;
    void updateRole(TimePoint now);
    void chooseAggregators(std::vector<std::string> chosen, TimePoint now);
    void suspectSilentAggregator(TimePoint now);
    int cpuOf(const std::string& name) const;

    std::string m_self;
    int m_cpuMillicores = 0;
    std::string m_failureDomain;
    InstanceRegistry m_registry;
    std::map<std::string, LastReport> m_lastReports;
    /// Computed when needed for the current version of the registry.
    mutable std::optional<AggregatorRanking> m_ranking;
    mutable std::int64_t m_rankedVersion = 0;
    std::optional<TimePoint> m_aggregatingSince;
    std::vector<std::string> m_ownAggregators;
    TimePoint m_aggregatorChosenAt;
    std::map<std::string, TimePoint> m_suspectedUntil;
    FleetSummary m_summary;
    TimePoint m_summaryReceivedAt;
};

}
