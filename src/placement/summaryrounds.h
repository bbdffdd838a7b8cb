#pragma once

#include "fleet/fleetview.h"
#include "placement/reportaggregator.h"

#include <map>
#include <optional>

namespace guavaspan {

/// Decides when an aggregator sends which summary to which instance. Without the loads of targets, which it does not know.
class SummaryRounds {
public:
    /// `lastSequence` is above the sequence numbers of earlier incarnations.
    SummaryRounds(const FleetView& fleet, std::int64_t lastSequence)
        : m_fleet(fleet)
        , m_sequence(lastSequence)
    {
    }

    /// A report of a peer or of this instance. Returns a summary for an instance that has just chosen this aggregator.
    std::optional<FleetSummary> onReport(const InstanceLoadReport&, TimePoint now);

    /// True if an instance has become silent or responds again since the last round.
    bool isDue(TimePoint now) const;

    /// Begins a round and returns the summary of each member; none if this instance is no aggregator.
    std::map<std::string, FleetSummary> begin(TimePoint now);

private:
    FleetSummary makeSummary(TimePoint now);

    const FleetView& m_fleet;
    ReportAggregator m_reports;
    std::int64_t m_sequence = 0;
    std::set<std::string> m_silentInstances;
    std::set<std::string> m_members;
};

}
