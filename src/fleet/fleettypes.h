#pragma once

#include "dispatch/dispatchtypes.h"
#include "dispatch/outcometracker.h"
#include "dispatch/outputestimator.h"
#include "net/nettypes.h"

#include <optional>
#include <string>
#include <vector>

namespace guavaspan {

/// An instance as it is registered in the shared store.
struct InstanceRecord {
    std::string name;
    Endpoint peers;
    std::string failureDomain;
    /// Processor time that it may use, in thousandths of a core.
    int capacity = 0;

    friend bool operator==(const InstanceRecord&, const InstanceRecord&) = default;
};

std::string encodeInstanceRecord(const InstanceRecord&);
std::optional<InstanceRecord> decodeInstanceRecord(const std::string&);

/// An instance's own work at targets.
struct InstanceLoadReport {
    std::string instance;
    /// Grows within one life of the instance; a new life starts with its start time.
    std::int64_t sequence = 0;
    /// All of its targets; otherwise only those whose load changed.
    bool complete = true;
    TargetLoads loads;
    /// The last grant that it took from each owner: those are among its loads now.
    std::map<std::string, std::int64_t> lastAcceptedGrants;
    /// How requests ended at addresses since the last report.
    std::map<std::string, OutcomeCount> outcomes;
    /// Lengths of generations that ended since the last report.
    LengthSumsByRoute lengths;

    friend bool operator==(const InstanceLoadReport&, const InstanceLoadReport&) = default;
};

}
