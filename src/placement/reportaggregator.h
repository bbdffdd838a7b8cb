#pragma once

#include "fleet/fleettypes.h"

#include <map>
#include <set>
#include <string>

namespace guavaspan {

/// Collects what the reports of all instances say since the last round of summaries, and divides it among the members of an
/// aggregator, each of which gets what it does not know from its own requests.
class ReportAggregator {
public:
    /// A report of a peer or of this instance.
    void onReport(const InstanceLoadReport&, TimePoint now);

    /// Begins a round; until the next one, summaries tell what was reported since the one before.
    void beginRound(TimePoint now);

    /// Adds what was reported by others than the member to its summary.
    void addTo(FleetSummary&, const std::string& member, TimePoint now) const;

private:
    struct Reported {
        std::map<std::string, OutcomeCount> outcomes;
        LengthSumsByRoute lengths;
    };
    struct TimedLimit {
        StatedLimit limit;
        std::string statedTo;
        TimePoint receivedAt;
    };

    void addLimits(const InstanceLoadReport&, TimePoint now);

    Reported m_collected;
    std::map<std::string, Reported> m_collectedByInstance;
    Reported m_round;
    std::map<std::string, Reported> m_roundByInstance;
    /// When a request last failed at an address.
    std::map<std::string, TimePoint> m_lastFailures;
    std::map<std::string, TimedLimit> m_limits;
    std::int64_t m_configurationVersion = 0;
    std::string m_configurationHolder;
};

}
