#pragma once

#include "dispatch/dispatchtypes.h"
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

    friend bool operator==(const InstanceRecord&, const InstanceRecord&) = default;
};

std::string encodeInstanceRecord(const InstanceRecord&);
std::optional<InstanceRecord> decodeInstanceRecord(const std::string&);

/// An instance's own work at every target.
struct InstanceLoads {
    std::string instance;
    /// Grows within one life of the instance; a new life starts with its start time.
    std::int64_t sequence = 0;
    TargetLoads loads;

    friend bool operator==(const InstanceLoads&, const InstanceLoads&) = default;
};

std::string encodeInstanceLoads(const InstanceLoads&);
std::optional<InstanceLoads> decodeInstanceLoads(const std::string&);

}
