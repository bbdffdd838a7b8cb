#pragma once

#include "common/time.h"
#include "keyvalue/keyvaluetypes.h"

#include <map>
#include <optional>
#include <vector>

namespace guavaspan::standins {

/// The platform's key-value service as a state machine: entries, versions, leases.
class KeyValueModel {
public:
    std::vector<KeyValueEntry> range(const std::string& key, const std::string& rangeEnd, TimePoint now);
    SwapResult swap(const SwapOptions&, TimePoint now);
    LeaseId grantLease(Seconds timeToLive, TimePoint now);
    bool keepAlive(LeaseId, TimePoint now);
    Seconds timeToLive(LeaseId) const;
    std::int64_t revision() const { return m_revision; }

private:
    struct Lease {
        Seconds timeToLive {};
        TimePoint endsAt;
    };
    struct Stored {
        std::string value;
        std::int64_t version = absentVersion;
        LeaseId lease = noLease;
    };

    void expire(TimePoint now);

    std::map<std::string, Stored> m_entries;
    std::map<LeaseId, Lease> m_leases;
    std::int64_t m_revision = 0;
    LeaseId m_lastLease = 0;
};

/// Counts calls per second against a limit.
class RateLimit {
public:
    explicit RateLimit(int perSecond);
    bool admit(TimePoint now);

private:
    int m_perSecond;
    TimePoint m_windowStart;
    int m_count = 0;
};

}
