#pragma once

#include "dispatch/dispatcher.h"
#include "placement/fleetlink.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace guavaspan {

/// Places this instance's requests on targets. The pool's owner decides for services with model
/// engines, whose memory is scarce and shared; this instance decides for plain services, or
/// if no owner can be reached.
class PlacementClient {
public:
    using UnusableGrantListener = std::function<void(std::string_view reason)>;

    PlacementClient(asio::io_context&, std::string instance, FleetView&, Dispatcher&, TargetDirectory&, TargetLimits&, OutputEstimator&, FleetLink&);

    Awaitable<PlacementOutcome> place(PlacementRequest);

    /// Called for each grant that this instance returns to an owner.
    void setUnusableGrantListener(UnusableGrantListener listener) { m_unusableGrantListener = std::move(listener); }

    /// Cancels a waiting request whose caller disconnected.
    void cancel(WorkId);

    /// Releases the reservation of work that ended or never started.
    void release(WorkId);

    /// The work was moved to another target.
    void setTarget(WorkId, const std::string& target);

    void onResponse(const PlacementResponse&);

    /// The current owner of a service's pool; this instance if no other can be reached.
    std::string ownerOf(const std::string& service);

    /// Excludes an owner that did not respond from ownerOf() for a limited time.
    void markUnreachable(const std::string& owner);

    std::int64_t incarnation() const { return m_incarnation; }

    /// Tells peers, with the next load report, of which era this instance's copy of the store is, and which configuration
    /// is in force.
    void setStoreState(std::int64_t era, std::int64_t configurationVersion)
    {
        m_storeEra = era;
        m_configurationVersion = configurationVersion;
    }
    /// Tells peers, with the next load report, whether this instance serves requests that they relay to it.
    void setRelaysForPeers(bool relaysForPeers) { m_relaysForPeers = relaysForPeers; }

    /// Sends the loads of all targets to the peers that need them, and returns the report.
    InstanceLoadReport sendLoadReport();

    /// True if this instance has chosen aggregators that do not know it yet.
    bool needsReport() const { return m_reportedAggregators != m_fleet.ownAggregators(); }

    void onLoadReport(const InstanceLoadReport&, TimePoint now);

    /// Takes over what an aggregator tells about the other instances.
    void onSummary(const FleetSummary&, TimePoint now);

    /// Drops what the last summary told if no other one arrived in time.
    void expireSummary(TimePoint now);

private:
    struct PendingQuery {
        explicit PendingQuery(asio::io_context& io)
            : wakeUp(io)
        {
        }
        asio::steady_timer wakeUp;
        std::optional<PlacementResponse> response;
        /// Targets of the grants that were returned; a response that names one of them was sent before the return arrived.
        std::set<std::string> returnedTargets;
        bool cancelled = false;
    };
    /// What an owner's response means for the request.
    enum class ResponseEffect {
        Waiting,
        Decided,
        GrantReturned,
    };

    Awaitable<std::optional<PlacementOutcome>> queryOwner(const std::string& owner, PlacementRequest&);
    ResponseEffect applyResponse(const std::string& owner, PlacementRequest&, PendingQuery&, TimePoint queriedAt, std::optional<PlacementOutcome>&);
    std::optional<std::string_view> whyUnusable(const std::string& target, TimePoint now);
    std::set<std::string> unreachableOwners(TimePoint now);
    InstanceLoadReport makeReport(bool complete);
    void addUnreported(InstanceLoadReport&);
    void reportChangedLoads(const std::string& decidingInstance);

    asio::io_context& m_io;
    std::string m_instance;
    std::int64_t m_incarnation;
    FleetView& m_fleet;
    Dispatcher& m_dispatcher;
    TargetDirectory& m_directory;
    TargetLimits& m_targetLimits;
    OutputEstimator& m_outputEstimator;
    FleetLink& m_link;
    UnusableGrantListener m_unusableGrantListener;
    std::int64_t m_sequence;
    bool m_relaysForPeers = false;
    std::int64_t m_storeEra = 0;
    std::int64_t m_configurationVersion = 0;
    std::unordered_map<WorkId, std::shared_ptr<PendingQuery>> m_pendingQueries;
    /// For each request to a model engine, the instance that places it or has placed it.
    std::unordered_map<WorkId, std::string> m_decidingInstances;
    std::map<std::string, std::int64_t> m_lastAcceptedGrants;
    std::map<std::string, TimePoint> m_unreachableUntil;
    /// Aggregators that the last complete report named.
    std::vector<std::string> m_reportedAggregators;
};

}
