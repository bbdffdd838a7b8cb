#pragma once

#include "dispatch/dispatchtypes.h"
#include "dispatch/outcometracker.h"
#include "dispatch/outputestimator.h"
#include "dispatch/targetpace.h"
#include "net/nettypes.h"
#include "targets/targetlimits.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace guavaspan {

/// An instance as it is registered in the shared store.
struct InstanceRecord {
    std::string name;
    Endpoint peerEndpoint;
    std::string failureDomain;
    /// CPU quota, in thousandths of a core.
    int cpuMillicores = 0;
    /// Where the instance serves callers; absent in the records of older versions.
    std::optional<Endpoint> callerEndpoint;
    /// The instance learns of its peers from the summaries of aggregators; false in the records of older versions.
    bool readsSummaries = false;

    friend bool operator==(const InstanceRecord&, const InstanceRecord&) = default;
};

std::string encodeInstanceRecord(const InstanceRecord&);
std::optional<InstanceRecord> decodeInstanceRecord(const std::string&);

/// Load that one instance places on targets, without that of its peers.
struct InstanceLoadReport {
    std::string instance;
    /// Increases with each report; an incarnation counts from its start time, so that its reports supersede those of
    /// earlier incarnations.
    std::int64_t sequence = 0;
    /// True if `loads` has all targets of the instance, false if only those whose load changed.
    bool complete = true;
    TargetLoads loads;
    /// Number of the last grant accepted from each owner; `loads` includes grants up to it.
    std::map<std::string, std::int64_t> lastAcceptedGrants;
    /// Outcomes of requests by address since the last report.
    std::map<std::string, OutcomeCount> outcomes;
    /// Output lengths of generations that ended since the last report.
    LengthSumsByRoute lengths;
    /// Limits that targets recently stated to the instance.
    StatedLimits limits;
    /// The instance serves requests that its peers relay to it.
    bool relaysForPeers = false;
    /// Services whose targets the instance does not reach.
    std::set<std::string> unreachableServices;
    /// Era of the instance's copy of the store; 0 in the reports of older versions, which know no eras.
    std::int64_t storeEra = 0;
    /// Version of the configuration in force at the instance; 0 for none, and in the reports of older versions.
    std::int64_t configurationVersion = 0;
    /// Aggregators of the instance in order of preference; the first one sends it summaries, all of them broadcasts.
    std::vector<std::string> aggregators;
    /// Paces that the instance observed and that changed since its last reports; empty in the reports of older versions.
    ReportedPaces paces;

    friend bool operator==(const InstanceLoadReport&, const InstanceLoadReport&) = default;
};

/// What an aggregator tells an instance about all others.
struct FleetSummary {
    std::string aggregator;
    /// Increases with each summary, across incarnations too.
    std::int64_t sequence = 0;
    /// Registered instances whose reports do not arrive.
    std::set<std::string> silentInstances;
    /// Instances that do not serve requests that their peers relay to them.
    std::set<std::string> instancesNotRelaying;
    /// By instance, the services whose targets it does not reach.
    std::map<std::string, std::set<std::string>> unreachableServices;
    /// Load of the other instances on the targets of plain services.
    TargetLoads loads;
    /// Outcomes of the other instances since the last summary, at addresses at which requests failed lately.
    std::map<std::string, OutcomeCount> outcomes;
    /// Output lengths at the other instances since the last summary.
    LengthSumsByRoute lengths;
    StatedLimits limits;
    /// Newest version of the configuration in force at any instance, and the instance.
    std::int64_t configurationVersion = 0;
    std::string configurationHolder;
    /// Paces that changed since the last summary; empty in the summaries of older versions.
    ReportedPaces paces;

    friend bool operator==(const FleetSummary&, const FleetSummary&) = default;
};

}
