#pragma once

#include "common/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace guavaspan::bench {

/// What becomes of instances in an experiment.
enum class FleetFault {
    None,
    /// The owner of the pool ends.
    OwnerEnds,
    /// An instance that is neither owner nor aggregator ends.
    OtherEnds,
    /// Half of the instances end at once.
    HalfEnds,
    /// Nothing that the instances of a failure domain send arrives outside of it.
    DomainMuted,
    /// The owner of the pool, an aggregator, ends and starts again three seconds later.
    OwnerReturns,
    /// All instances restart at once and know nothing.
    AllRestart,
    /// All instances restart one after the other.
    RollingRestart,
    /// Sixty instances are added at once.
    SixtyAdded,
};

std::string_view toString(FleetFault);

struct FleetExperimentOptions {
    int instances = 30;
    int failureDomains = 5;
    /// Instances with four times the processor time of the others, in each failure domain.
    int strongPerDomain = 3;
    /// The instances report to aggregators; otherwise to all others, as those of older versions do.
    bool summaries = true;
    FleetFault fault = FleetFault::None;
    Milliseconds length { 12000 };
    Milliseconds faultAt { 6000 };
    unsigned seed = 1;
    /// Share of datagrams that are lost.
    double loss = 0;
};

struct FleetExperimentResult {
    double messagesPerSecond = 0;
    double bytesPerSecond = 0;
    /// Messages that the busiest instance sends and receives in a second.
    double mostMessagesPerSecond = 0;
    /// Messages that an instance sends and receives in a second, the busiest ones left out.
    double medianMessagesPerSecond = 0;
    /// Time from the fault until all other instances know of it and agree on the owner; negative if they do not in the time of the
    /// experiment. From the end of a rolling restart.
    Milliseconds detectionTime { -1 };
    /// Messages in the busiest second after the fault, in the whole fleet.
    double peakMessagesPerSecond = 0;
    /// Instances that are taken to be silent though they are not, added up over checks, before the fault.
    int falselySilent = 0;
    /// Checks before the fault at which instances disagreed on the owner.
    int ownerDisagreements = 0;
};

/// Lets the views of a fleet exchange reports and summaries in virtual time.
FleetExperimentResult runFleetExperiment(const FleetExperimentOptions&);

/// Prints messages, bytes and times for fleets of several sizes, with and without aggregators.
int runFleet();

}
