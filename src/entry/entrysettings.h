#pragma once

#include "net/nettypes.h"

#include <string>

namespace guavaspan {

/// What an instance of the entry service has to know before it starts.
struct EntrySettings {
    std::string instance;
    std::string failureDomain;
    Endpoint callers;
    Endpoint readiness;
    /// Peers over TCP and UDP.
    Endpoint peers;
    Endpoint store;
    /// Processor time that this instance may use, in thousandths of a core.
    int capacity = 1000;
    /// Time from SIGTERM to the end that the host allows.
    Milliseconds stopLimit { 8000 };
    /// A key that was taken away must not work for longer than this.
    Milliseconds keyLifetimeAfterRevocation { 5000 };
    Milliseconds minLeaseTtl { 1000 };
    double retryRatio = 0.2;
    int retryAllowance = 0;
    Milliseconds retryWindow { 10000 };

    friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

}
