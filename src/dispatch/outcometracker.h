#pragma once

#include "common/time.h"

#include <map>
#include <string>

namespace guavaspan {

/// Outcomes of requests at one target.
struct OutcomeCount {
    int requests = 0;
    int failures = 0;

    friend bool operator==(const OutcomeCount&, const OutcomeCount&) = default;
};

/// Recent failures of each target, judged by what happened to requests.
class OutcomeTracker {
public:
    void onSuccess(const std::string& target, TimePoint now);
    /// The target failed a request: no answer, a broken one, or a refusal while it had room.
    void onFailure(const std::string& target, TimePoint now);
    void forget(const std::string& target);

    /// What peers saw.
    void onPeerOutcomes(const std::map<std::string, OutcomeCount>&, TimePoint now);

    /// What this instance saw since the last call, for its peers.
    std::map<std::string, OutcomeCount> takeOwn();

    /// Share of recent requests that failed, fading with time.
    double failureShare(const std::string& target, TimePoint now) const;

    /// True while the target is avoided if there is another.
    bool isSuspect(const std::string& target, TimePoint now) const;

private:
    struct Record {
        double failures = 0;
        double requests = 0;
        TimePoint updatedAt;
    };

    Record& faded(const std::string& target, TimePoint now);

    std::map<std::string, Record> m_records;
    std::map<std::string, OutcomeCount> m_own;
};

}
