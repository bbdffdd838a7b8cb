#pragma once

#include "fleet/fleettypes.h"
#include "keyvalue/ikeyvaluestore.h"

namespace guavaspan {

/// Keeps this instance's entry in the shared store alive with a lease until it is stopped.
class Registration {
public:
    Registration(IKeyValueStore&, std::string keyPrefix, InstanceRecord, std::int64_t incarnation);

    /// Key of the entry, which no other process of the instance uses.
    const std::string& key() const { return m_key; }

    Awaitable<> run();
    void stop() { m_stopped = true; }

private:
    Awaitable<bool> registerInstance();

    IKeyValueStore& m_store;
    std::string m_key;
    InstanceRecord m_record;
    LeaseId m_lease = noLease;
    bool m_stopped = false;
};

}
