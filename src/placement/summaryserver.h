#pragma once

#include "dispatch/dispatcher.h"
#include "placement/fleetlink.h"
#include "placement/summaryrounds.h"
#include "routing/activeconfiguration.h"

namespace guavaspan {

struct SummaryServerOptions {
    const FleetView& fleet;
    Dispatcher& dispatcher;
    const TargetDirectory& directory;
    const ActiveConfiguration& configuration;
    FleetLink& link;
};

/// Sends summaries of the fleet to the instances that have chosen this one as their aggregator.
class SummaryServer {
public:
    explicit SummaryServer(SummaryServerOptions);

    /// A report of a peer or of this instance.
    void onReport(const InstanceLoadReport&, TimePoint now);

    void sendSummaries(TimePoint now);

    /// Sends summaries at once if an instance has become silent or responds again.
    void onTick(TimePoint now);

private:
    TargetLoads plainLoads() const;
    TargetLoads loadsOfOthers(const TargetLoads& plainLoads, const std::string& member) const;

    SummaryServerOptions m_options;
    SummaryRounds m_rounds;
};

}
