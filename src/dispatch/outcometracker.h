#pragma once

#include "common/time.h"

#include <map>
#include <string>

namespace guavaspan {

/// Requests to one address and how many of them failed.
struct OutcomeCount {
    int requests = 0;
    int failures = 0;

    OutcomeCount& operator+=(const OutcomeCount& other)
    {
        requests += other.requests;
        failures += other.failures;
        return *this;
    }

    OutcomeCount& operator-=(const OutcomeCount& other)
    {
        requests -= other.requests;
        failures -= other.failures;
        return *this;
    }

    friend bool operator==(const OutcomeCount&, const OutcomeCount&) = default;
};

/// Tracks recent request failures by address, for outlier ejection. The record of an address is kept when its
/// target restarts, so a target that crashes repeatedly does not start with a clean record each time.
class OutcomeTracker {
public:
    void onSuccess(const std::string& address, TimePoint now);
    /// The target broke off a response, or refused a request although it had capacity.
    void onFailure(const std::string& address, TimePoint now);
    /// No response arrived at all: the target's process has most likely ended.
    void onUnreachable(const std::string& address, TimePoint now);

    /// Adds outcomes that peers reported.
    void onPeerOutcomes(const std::map<std::string, OutcomeCount>&, TimePoint now);

    /// Discards the outcomes of an address.
    void forget(const std::string& address);

    /// Returns the outcomes recorded on this instance since the last call, to be reported to peers.
    std::map<std::string, OutcomeCount> takeUnreported();

    /// Share of recent requests that failed; older outcomes weigh less.
    double failureRate(const std::string& address, TimePoint now) const;

    /// True while the address is used only if no other target is available.
    bool isSuspect(const std::string& address, TimePoint now) const;

    /// True if a request may probe whether a suspect has recovered.
    bool mayProbe(const std::string& address, TimePoint now) const;
    void onProbed(const std::string& address, TimePoint now);

private:
    struct Record {
        double failures = 0;
        double requests = 0;
        TimePoint updatedAt;
        TimePoint probedAt;
    };

    Record& decayedRecord(const std::string& address, TimePoint now);
    void addOutcomes(const std::string& address, const OutcomeCount&, TimePoint now);
    void addLocalOutcomes(const std::string& address, const OutcomeCount&, TimePoint now);

    std::map<std::string, Record> m_records;
    std::map<std::string, OutcomeCount> m_unreported;
};

}
