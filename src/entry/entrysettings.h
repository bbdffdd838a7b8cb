#pragma once

#include "net/memorybudget.h"
#include "net/nettypes.h"

#include <optional>
#include <string>

namespace guavaspan {

/// Settings of an instance of the entry service.
struct EntrySettings {
    std::string instance;
    std::string failureDomain;
    /// Address at which callers' requests are served.
    Endpoint callers;
    /// Address at which readiness probes and metrics are served.
    Endpoint readiness;
    /// Peers connect to this address over both TCP and UDP.
    Endpoint peers;
    Endpoint store;
    /// CPU time that this instance may use, in thousandths of a core.
    int capacity = 1000;
    /// Memory and descriptors of the host, as far as they are stated.
    HostLimits host;
    /// Time from SIGTERM until the host kills the process.
    Milliseconds stopLimit { 8000 };
    /// Maximum time for which a revoked key may still be accepted.
    Milliseconds keyLifetimeAfterRevocation { 5000 };
    /// Time from the store's acknowledgement of a configuration until it must be in force.
    Milliseconds configurationTime { 2000 };
    /// Time from the store's acknowledgement of an evacuation until it must be in force, if the deployment states one.
    std::optional<Milliseconds> evacuationTime;
    Milliseconds minLeaseTtl { 1000 };
    /// Retries allowed per request that arrived within the window.
    double retryRatio = 0.2;
    /// Additional retries allowed in each window, shared by the whole fleet.
    int retryAllowance = 0;
    Milliseconds retryWindow { 10000 };
    /// In any second a cold target gets at most `coldOverrun` times the rate that it tolerates, and `coldSlack` more. If the
    /// settings do not state them, it gets no more than it tolerates.
    double coldOverrun = 1;
    double coldSlack = 0;

    friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

}
