#include "bench/fleetexperiment.h"

#include <criterion/criterion.h>

using namespace guavaspan;
using namespace guavaspan::bench;

namespace {

/// Detection by all others where every instance reports to all others.
constexpr auto toleratedDelay = Milliseconds(100);

void expectNoSlowerDetection(int instances, FleetFault fault)
{
    auto mesh = runFleetExperiment({ .instances = instances, .summaries = false, .fault = fault });
    auto aggregated = runFleetExperiment({ .instances = instances, .summaries = true, .fault = fault });
    cr_assert_geq(mesh.detectionTime.count(), 0, "%s", toString(fault).data());
    cr_assert_geq(aggregated.detectionTime.count(), 0, "%s", toString(fault).data());
    cr_expect_leq(aggregated.detectionTime.count(), (mesh.detectionTime + toleratedDelay).count(), "%s: %lld ms, before %lld ms", toString(fault).data(), static_cast<long long>(aggregated.detectionTime.count()), static_cast<long long>(mesh.detectionTime.count()));
}

}

/// Guards against traffic between instances that grows with the square of the fleet.
Test(FleetExperiment, tenTimesTheInstances_messagesGrowInProportion)
{
    auto small = runFleetExperiment({ .instances = 30, .length = Milliseconds(5000) });
    auto large = runFleetExperiment({ .instances = 300, .length = Milliseconds(5000) });
    cr_expect_leq(large.messagesPerSecond, 12 * small.messagesPerSecond);
    cr_expect_leq(large.medianMessagesPerSecond, 1.2 * small.medianMessagesPerSecond + 2);
}

Test(FleetExperiment, instanceEnds_detectionIsNoSlowerThanWithReportsToAll)
{
    expectNoSlowerDetection(30, FleetFault::OtherEnds);
    expectNoSlowerDetection(300, FleetFault::OtherEnds);
}

Test(FleetExperiment, halfOfTheFleetEnds_detectionIsNoSlowerThanWithReportsToAll)
{
    expectNoSlowerDetection(60, FleetFault::HalfEnds);
    expectNoSlowerDetection(300, FleetFault::HalfEnds);
}

Test(FleetExperiment, ownerEnds_detectionIsNoSlowerThanWithReportsToAll)
{
    expectNoSlowerDetection(60, FleetFault::OwnerEnds);
    expectNoSlowerDetection(300, FleetFault::OwnerEnds);
}

Test(FleetExperiment, failureDomainIsMuted_detectionIsNoSlowerThanWithReportsToAll)
{
    expectNoSlowerDetection(60, FleetFault::DomainMuted);
    expectNoSlowerDetection(300, FleetFault::DomainMuted);
}

/// Guards against a stampede, or a fleet that does not find together again, after events that hit all instances.
Test(FleetExperiment, wholeFleetEvent_allAgreeSoonAndMessagesStayNearTheUsual)
{
    for (auto fault : { FleetFault::AllRestart, FleetFault::RollingRestart, FleetFault::SixtyAdded }) {
        constexpr int instances = 300;
        auto result = runFleetExperiment({ .instances = instances, .fault = fault, .length = Milliseconds(22000) });
        cr_expect_geq(result.detectionTime.count(), 0, "%s", toString(fault).data());
        cr_expect_leq(result.detectionTime.count(), 3000, "%s: %lld ms", toString(fault).data(), static_cast<long long>(result.detectionTime.count()));
        cr_expect_leq(result.peakMessagesPerSecond, 2 * result.messagesPerSecond, "%s: %.0f, before %.0f", toString(fault).data(), result.peakMessagesPerSecond, result.messagesPerSecond);
    }
}

/// Guards against instances that find no aggregator any more, and against generations placed by two owners: the aggregator that had stood in
/// for one that came back got no reports any more and declared all others silent.
Test(FleetExperiment, aggregatorEndsAndReturns_allAgreeAgain)
{
    for (int instances : { 60, 300 }) {
        auto result = runFleetExperiment({ .instances = instances, .fault = FleetFault::OwnerReturns, .length = Milliseconds(20000) });
        cr_expect_geq(result.detectionTime.count(), 0, "%d instances", instances);
        cr_expect_leq(result.detectionTime.count(), 2500, "%d instances: %lld ms", instances, static_cast<long long>(result.detectionTime.count()));
    }
}

Test(FleetExperiment, calmFleet_noInstanceIsTakenToBeSilentAndAllAgreeOnTheOwner)
{
    for (int instances : { 20, 60, 300 }) {
        auto result = runFleetExperiment({ .instances = instances, .length = Milliseconds(8000) });
        cr_expect_eq(result.falselySilent, 0);
        cr_expect_eq(result.ownerDisagreements, 0);
    }
}

Test(FleetExperiment, datagramsAreLost_fewInstancesAreTakenToBeSilent)
{
    auto result = runFleetExperiment({ .instances = 100, .length = Milliseconds(10000), .loss = 0.025 });
    // 100 instances have 99 peers each at 69 checks.
    cr_expect_leq(result.falselySilent, 100 * 99 * 69 / 100, "%d", result.falselySilent);
}
