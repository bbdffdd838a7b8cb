#pragma once

#include "dispatch/dispatcher.h"
#include "placement/fleetlink.h"
#include "placement/reportaggregator.h"
#include "routing/activeconfiguration.h"

namespace guavaspan {

struct SummaryServerOptions {
    FleetView& fleet;
    Dispatcher& dispatcher;
    const TargetDirectory& directory;
    const ActiveConfiguration& configuration;
    FleetLink& link;
};

/// Sends summaries of the fleet to the instances that have chosen this one as their aggregator.
class SummaryServer {
public:
    explicit SummaryServer(SummaryServerOptions);

    /// A report of a peer or of this instance. A new member gets a summary at once.
    void onReport(const InstanceLoadReport&, TimePoint now);

    void sendSummaries(TimePoint now);

    /// Sends summaries at once if an instance has become silent or responds again.
    void onTick(TimePoint now);

private:
    FleetSummary makeSummary(TimePoint now);
    TargetLoads plainLoads() const;
    TargetLoads loadsOfOthers(const TargetLoads& plainLoads, const std::string& member) const;

    SummaryServerOptions m_options;
    ReportAggregator m_aggregator;
    std::int64_t m_sequence;
    std::set<std::string> m_silentInstances;
    std::set<std::string> m_members;
};

}
