#pragma once

#include "fleet/fleettypes.h"
#include "keyvalue/ikeyvaluestore.h"

namespace guavaspan {

struct RegisterAgainOptions {
    /// Time to wait before the first write.
    Milliseconds delay { 0 };
    /// An entry that is older than this, and its lease, are in every copy from which the store may have come back.
    Clock::duration oldestCopy = maxStoreCopyAge;

    friend bool operator==(const RegisterAgainOptions&, const RegisterAgainOptions&) = default;
};

/// Keeps this instance's entry in the shared store alive with a lease until it is stopped.
class Registration {
public:
    Registration(IKeyValueStore&, std::string keyPrefix, InstanceRecord, std::int64_t incarnation);

    /// Key of the entry, which no other process of the instance uses.
    const std::string& key() const { return m_key; }

    Awaitable<> run();
    /// Renews the lease, or writes the entry again with a new one if a store that came back from a copy may have lost both.
    Awaitable<> registerAgain(RegisterAgainOptions);
    void stop() { m_stopped = true; }

private:
    Awaitable<> renewLease();
    Awaitable<bool> registerInstance();
    Awaitable<std::optional<LeaseId>> writeEntry();

    IKeyValueStore& m_store;
    std::string m_key;
    InstanceRecord m_record;
    LeaseId m_lease = noLease;
    TimePoint m_registeredAt;
    /// An entry is being written. The lease held must be the one of the last write, so writes do not overlap.
    bool m_registering = false;
    /// Number of calls of registerAgain(); a registration that one of them overlaps may be lost.
    int m_renewals = 0;
    bool m_stopped = false;
};

}
