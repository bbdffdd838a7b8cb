#pragma once

#include "common/time.h"

#include <map>
#include <string>

namespace guavaspan {

/// Outcomes of requests at one address.
struct OutcomeCount {
    int requests = 0;
    int failures = 0;

    friend bool operator==(const OutcomeCount&, const OutcomeCount&) = default;
};

/// Recent failures at each address, judged by what happened to requests. An address outlives
/// the targets behind it, so one that crashes again and again does not start anew each time.
class OutcomeTracker {
public:
    void onSuccess(const std::string& address, TimePoint now);
    /// The target failed a request: a broken answer, or a refusal while it had room.
    void onFailure(const std::string& address, TimePoint now);
    /// No answer came at all: whatever ran there is most likely gone.
    void onUnreachable(const std::string& address, TimePoint now);

    /// What peers saw.
    void onPeerOutcomes(const std::map<std::string, OutcomeCount>&, TimePoint now);

    /// What this instance saw since the last call, for its peers.
    std::map<std::string, OutcomeCount> takeUnreported();

    /// Share of recent requests that failed, fading with time.
    double failureRate(const std::string& address, TimePoint now) const;

    /// True while the address is avoided if there is another.
    bool isSuspect(const std::string& address, TimePoint now) const;

    /// True if one request may test whether a suspect works again.
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
