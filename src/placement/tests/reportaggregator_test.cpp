#include "placement/reportaggregator.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

struct ReportAggregatorFixture {
    FleetSummary summaryFor(const char* member)
    {
        FleetSummary summary;
        aggregator.addTo(summary, member, now);
        return summary;
    }

    ReportAggregator aggregator;
    TimePoint now { Seconds(100) };
};

}

Test(ReportAggregator, outcomesOfSeveralInstances_eachMemberGetsThoseOfTheOthersOnce)
{
    ReportAggregatorFixture f;
    f.aggregator.onReport({ .instance = "a", .sequence = 1, .outcomes = { { "e", { .requests = 3, .failures = 2 } } } }, f.now);
    f.aggregator.onReport({ .instance = "b", .sequence = 1, .outcomes = { { "e", { .requests = 5, .failures = 1 } } } }, f.now);
    f.aggregator.beginRound(f.now);
    cr_expect((f.summaryFor("a").outcomes.at("e") == OutcomeCount { .requests = 5, .failures = 1 }));
    cr_expect((f.summaryFor("b").outcomes.at("e") == OutcomeCount { .requests = 3, .failures = 2 }));
    cr_expect((f.summaryFor("c").outcomes.at("e") == OutcomeCount { .requests = 8, .failures = 3 }));
    f.aggregator.beginRound(f.now);
    cr_expect(f.summaryFor("c").outcomes.empty(), "told in the round before");
}

Test(ReportAggregator, addressWithoutRecentFailures_isLeftOut)
{
    ReportAggregatorFixture f;
    f.aggregator.onReport({ .instance = "a", .sequence = 1, .outcomes = { { "sound", { .requests = 3 } }, { "failing", { .requests = 3, .failures = 1 } } } }, f.now);
    f.aggregator.beginRound(f.now);
    auto outcomes = f.summaryFor("b").outcomes;
    cr_assert_eq(outcomes.size(), 1u);
    cr_expect(outcomes.contains("failing"));
}

/// Guards against instances that avoid an engine that has recovered: the successes after its failures are told, too.
Test(ReportAggregator, successesAfterAFailure_arePassedOn)
{
    ReportAggregatorFixture f;
    f.aggregator.onReport({ .instance = "a", .sequence = 1, .outcomes = { { "e", { .requests = 1, .failures = 1 } } } }, f.now);
    f.aggregator.beginRound(f.now);
    f.now += Seconds(2);
    f.aggregator.onReport({ .instance = "a", .sequence = 2, .outcomes = { { "e", { .requests = 4 } } } }, f.now);
    f.aggregator.beginRound(f.now);
    cr_expect((f.summaryFor("b").outcomes.at("e") == OutcomeCount { .requests = 4 }));
    f.now += Seconds(20);
    f.aggregator.onReport({ .instance = "a", .sequence = 3, .outcomes = { { "e", { .requests = 4 } } } }, f.now);
    f.aggregator.beginRound(f.now);
    cr_expect(f.summaryFor("b").outcomes.empty());
}

Test(ReportAggregator, lengthSums_eachMemberGetsThoseOfTheOthers)
{
    ReportAggregatorFixture f;
    f.aggregator.onReport({ .instance = "a", .sequence = 1, .lengths = { { "r", { .generationCount = 2, .lengthSum = 10 } } } }, f.now);
    f.aggregator.onReport({ .instance = "b", .sequence = 1, .lengths = { { "r", { .generationCount = 1, .lengthSum = 4 } } } }, f.now);
    f.aggregator.beginRound(f.now);
    cr_expect((f.summaryFor("a").lengths.at("r") == LengthSums { .generationCount = 1, .lengthSum = 4 }));
    cr_expect((f.summaryFor("c").lengths.at("r") == LengthSums { .generationCount = 3, .lengthSum = 14 }));
}

Test(ReportAggregator, statedLimit_isPassedOnWithItsAgeWhileItIsReported)
{
    ReportAggregatorFixture f;
    f.aggregator.onReport({ .instance = "a", .sequence = 1, .limits = { { "t", { .targetStartedAt = 7, .requestsPerSecond = 3, .age = Milliseconds(100) } } } }, f.now);
    f.now += Milliseconds(400);
    f.aggregator.beginRound(f.now);
    cr_expect(f.summaryFor("a").limits.empty(), "stated to itself");
    cr_expect((f.summaryFor("b").limits.at("t") == StatedLimit { .targetStartedAt = 7, .requestsPerSecond = 3, .age = Milliseconds(500) }));
    f.now += Seconds(3);
    f.aggregator.beginRound(f.now);
    cr_expect(f.summaryFor("b").limits.empty());
}

Test(ReportAggregator, newestConfiguration_isPassedOnWithItsHolder)
{
    ReportAggregatorFixture f;
    f.aggregator.onReport({ .instance = "a", .sequence = 1, .configurationVersion = 9 }, f.now);
    f.aggregator.onReport({ .instance = "b", .sequence = 1, .configurationVersion = 8 }, f.now);
    auto summary = f.summaryFor("c");
    cr_expect_eq(summary.configurationVersion, 9);
    cr_expect_eq(summary.configurationHolder, "a");
}
