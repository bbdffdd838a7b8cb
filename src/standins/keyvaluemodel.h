#pragma once

#include "common/time.h"
#include "keyvalue/keyvaluetypes.h"

#include <map>
#include <optional>
#include <vector>

namespace guavaspan::standins {

/// In-memory model of the platform's key-value service with versioned entries and leases.
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
        TimePoint expiresAt;
    };
    struct StoredEntry {
        std::string value;
        std::int64_t version = absentVersion;
        LeaseId lease = noLease;
    };

    void expireLeases(TimePoint now);

    std::map<std::string, StoredEntry> m_entries;
    std::map<LeaseId, Lease> m_leases;
    std::int64_t m_revision = 0;
    LeaseId m_lastLeaseId = 0;
};

/// Limits the calls in each window of one second; a maximum of zero admits every call.
class RateLimiter {
public:
    explicit RateLimiter(int maxPerSecond);
    bool admit(TimePoint now);

private:
    int m_maxPerSecond;
    TimePoint m_windowStart;
    int m_admittedInWindow = 0;
};

}
