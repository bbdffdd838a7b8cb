#include "fleet/fleetview.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

constexpr int instances = 40;
constexpr int domains = 4;

std::string nameOf(int number)
{
    return "entry-" + std::to_string(number);
}

InstanceRecord recordOf(int number)
{
    return { .name = nameOf(number), .failureDomain = "d" + std::to_string(number % domains), .cpuMillicores = number < 2 * domains ? 500 : 120, .callerEndpoint = Endpoint { .address = "10.0.0.1", .port = 8740 }, .readsSummaries = true };
}

/// The view of one instance in a fleet of 40 in four failure domains, of which two in each are strong.
struct FleetViewFixture {
    explicit FleetViewFixture(int self)
        : record(recordOf(self))
        , view(record.name, record.cpuMillicores, record.failureDomain)
    {
        for (int number = 0; number < instances; ++number)
            view.onRegistered(nameOf(number), recordOf(number), now);
        view.onTick(now);
    }

    void reportAll()
    {
        ++sequence;
        for (int number = 0; number < instances; ++number)
            view.onReport({ .instance = nameOf(number), .sequence = sequence, .relaysForPeers = true }, now);
    }

    void summarise(std::set<std::string> silent = {})
    {
        view.onSummary({ .aggregator = view.ownAggregators().front(), .sequence = ++sequence, .silentInstances = std::move(silent) }, now);
    }

    void advance(Milliseconds time)
    {
        now += time;
        view.onTick(now);
    }

    bool reaches(const std::string& name)
    {
        auto peers = view.reachablePeers(now);
        return std::any_of(peers.begin(), peers.end(), [&](const InstanceRecord& peer) { return peer.name == name; });
    }

    TimePoint now { Seconds(100) };
    InstanceRecord record;
    FleetView view;
    std::int64_t sequence = 0;
};

/// An instance that is no aggregator.
constexpr int weakInstance = instances - 1;

/// The aggregator of the failure domain of the weak instance.
int aggregatorNumber()
{
    FleetViewFixture f(weakInstance);
    return std::stoi(f.view.ownAggregators().front().substr(6));
}

}

Test(FleetViewAggregators, allInstances_agreeOnAggregatorsAndOwner)
{
    std::set<std::vector<std::string>> sets;
    std::set<std::string> owners;
    for (int number = 0; number < instances; ++number) {
        FleetViewFixture f(number);
        sets.insert(f.view.aggregators(f.now));
        owners.insert(f.view.ownerOf("writer", {}, f.now));
    }
    cr_expect_eq(sets.size(), 1u);
    cr_expect_eq(owners.size(), 1u);
}

Test(FleetViewAggregators, largeFleet_instanceReportsToAggregatorsOnly)
{
    FleetViewFixture f(weakInstance);
    cr_expect(f.view.usesSummaries());
    cr_expect_eq(f.view.reportRecipients(f.now).size(), std::size_t(domains));
    cr_expect_eq(f.view.ownAggregators().size(), 2u);
    cr_expect_eq(f.view.find(f.view.ownAggregators().front())->failureDomain, f.record.failureDomain);
}

Test(FleetViewAggregators, smallFleet_instanceReportsToAll)
{
    FleetView view("entry-0", 500, "d0");
    for (int number = 0; number < 9; ++number)
        view.onRegistered(nameOf(number), recordOf(number));
    view.onTick(TimePoint(Seconds(100)));
    cr_expect(!view.usesSummaries());
    cr_expect_eq(view.reportRecipients(TimePoint(Seconds(100))).size(), 8u);
    cr_expect(view.ownAggregators().empty());
}

/// An instance of an older version does not report to aggregators only, and expects the reports of all others.
Test(FleetViewAggregators, oneInstanceOfAnOlderVersion_allReportToAll)
{
    FleetViewFixture f(weakInstance);
    f.view.onRegistered("older", { .name = "older", .failureDomain = "d0" });
    cr_expect(!f.view.usesSummaries());
    cr_expect_eq(f.view.reportRecipients(f.now).size(), std::size_t(instances));
    f.view.onUnregistered("older", f.now);
    cr_expect(f.view.usesSummaries());
}

Test(FleetViewAggregators, summaryNamesASilentInstance_itIsNotReachable)
{
    FleetViewFixture f(weakInstance);
    f.summarise({ "entry-5" });
    cr_expect(!f.reaches("entry-5"));
    cr_expect(f.reaches("entry-6"));
    cr_expect_eq(f.view.reachablePeers(f.now).size(), std::size_t(instances - 2));
}

Test(FleetViewAggregators, summaryOfAnotherAggregatorOrAnOlderOne_isIgnored)
{
    FleetViewFixture f(weakInstance);
    f.summarise();
    cr_expect(!f.view.onSummary({ .aggregator = f.view.ownAggregators().back(), .sequence = 1000 }, f.now));
    cr_expect(!f.view.onSummary({ .aggregator = f.view.ownAggregators().front(), .sequence = f.sequence }, f.now));
}

/// Guards against instances that go on relying on an aggregator that has ended.
Test(FleetViewAggregators, aggregatorSendsNoSummaries_anotherOneIsChosenAndNothingIsReachableMeanwhile)
{
    FleetViewFixture f(weakInstance);
    f.summarise();
    auto first = f.view.ownAggregators().front();
    f.advance(Milliseconds(1600));
    cr_assert_neq(f.view.ownAggregators().front(), first);
    cr_expect(f.view.reachablePeers(f.now).empty(), "no recent news of any peer");
    auto recipients = f.view.reportRecipients(f.now);
    cr_expect(std::find(recipients.begin(), recipients.end(), first) == recipients.end());
}

Test(FleetViewAggregators, instanceStopsReporting_aggregatorNoticesSoonerThanOthersDidByThemselves)
{
    FleetViewFixture f(aggregatorNumber());
    cr_assert(f.view.aggregates());
    f.reportAll();
    f.advance(Milliseconds(1300));
    cr_expect(f.view.silentInstances(f.now).empty());
    f.advance(Milliseconds(200));
    cr_expect_eq(f.view.silentInstances(f.now).size(), std::size_t(instances - 1));
}

/// Guards against a new aggregator that declares all silent that have not yet begun to report to it.
Test(FleetViewAggregators, newAggregator_awaitsTheFirstReports)
{
    FleetViewFixture f(aggregatorNumber());
    f.advance(Milliseconds(1400));
    cr_expect(f.view.silentInstances(f.now).empty());
    f.advance(Milliseconds(200));
    cr_expect_eq(f.view.silentInstances(f.now).size(), std::size_t(instances - 1));
}

Test(FleetViewAggregators, newInstance_isAwaitedByAggregators)
{
    FleetViewFixture f(aggregatorNumber());
    f.advance(Milliseconds(5000));
    f.reportAll();
    f.view.onRegistered("added", { .name = "added", .failureDomain = "d0", .readsSummaries = true }, f.now);
    cr_expect(f.view.silentInstances(f.now).empty());
    f.advance(Milliseconds(1000));
    f.reportAll();
    f.advance(Milliseconds(600));
    cr_expect(f.view.silentInstances(f.now) == std::set<std::string> { "added" });
}

Test(FleetViewAggregators, membersAndSubscribers_areThoseThatNameThisInstance)
{
    FleetViewFixture f(aggregatorNumber());
    auto self = f.record.name;
    f.view.onReport({ .instance = "entry-30", .sequence = 1, .aggregators = { self, "entry-1" } }, f.now);
    f.view.onReport({ .instance = "entry-31", .sequence = 1, .aggregators = { "entry-1", self } }, f.now);
    f.view.onReport({ .instance = "entry-32", .sequence = 1, .aggregators = { "entry-1" } }, f.now);
    cr_expect(f.view.members(f.now) == std::vector<std::string> { "entry-30" });
    cr_expect_eq(f.view.subscribers(f.now).size(), 2u);
}

Test(FleetViewAggregators, storeReaders_areTwoAggregatorsAndNoInstanceHasMoreThan150Followers)
{
    std::map<std::string, int> followers;
    int readers = 0;
    for (int number = 0; number < instances; ++number) {
        FleetViewFixture f(number);
        if (f.view.readsStore(f.now, true)) {
            ++readers;
            continue;
        }
        auto sources = f.view.storeReaders(f.record.failureDomain, f.now, true);
        cr_assert(!sources.empty());
        ++followers[sources.front().name];
    }
    cr_expect_eq(readers, 2);
    for (const auto& [name, count] : followers)
        cr_expect_leq(count, 150, "%s", name.c_str());
}

/// Guards against instances that learn late that their own aggregator has ended, as it cannot tell them.
Test(FleetViewAggregators, secondAggregatorTellsThatTheFirstIsSilent_isBelieved)
{
    FleetViewFixture f(weakInstance);
    f.summarise();
    auto own = f.view.ownAggregators();
    cr_expect(!f.view.onSummary({ .aggregator = own.back(), .sequence = 100 }, f.now));
    f.now += Milliseconds(600);
    cr_expect(!f.view.onSummary({ .aggregator = own.back(), .sequence = 100, .silentInstances = { own.front() } }, f.now), "the first one has just sent a summary");
    f.now += Milliseconds(600);
    cr_expect(f.view.onSummary({ .aggregator = own.back(), .sequence = 101, .silentInstances = { own.front() } }, f.now));
    cr_expect(!f.reaches(own.front()));
    f.advance(Milliseconds(100));
    cr_expect_neq(f.view.ownAggregators().front(), own.front());
}

Test(FleetViewAggregators, anyAggregatorTellsThatAllOwnOnesAreSilent_isBelieved)
{
    FleetViewFixture f(weakInstance);
    auto own = f.view.ownAggregators();
    cr_expect(!f.view.onSummary({ .aggregator = "other", .sequence = 1, .silentInstances = { own.front() } }, f.now));
    cr_expect(f.view.onSummary({ .aggregator = "other", .sequence = 1, .silentInstances = { own.front(), own.back() } }, f.now));
    cr_expect(!f.view.onSummary({ .aggregator = "third", .sequence = 1, .silentInstances = { own.front(), own.back() } }, f.now), "one is enough");
    cr_expect(f.view.onSummary({ .aggregator = "other", .sequence = 2, .silentInstances = { own.front(), own.back() } }, f.now));
}

Test(FleetViewAggregators, firstAggregatorOfAnInstanceIsSilent_secondOneServesIt)
{
    FleetViewFixture f(aggregatorNumber());
    auto self = f.record.name;
    f.advance(Milliseconds(5000));
    f.view.onReport({ .instance = "entry-2", .sequence = 1 }, f.now);
    f.view.onReport({ .instance = "entry-30", .sequence = 1, .aggregators = { "entry-1", self } }, f.now);
    cr_expect(f.view.members(f.now) == std::vector<std::string> { "entry-30" });
    f.view.onReport({ .instance = "entry-1", .sequence = 1 }, f.now);
    cr_expect(f.view.members(f.now).empty());
}

/// Guards against an aggregator that gets no reports any more and tells its former members that all others are silent.
Test(FleetViewAggregators, otherAggregatorsDoNotReport_noSummariesAreSent)
{
    FleetViewFixture f(aggregatorNumber());
    f.advance(Milliseconds(5000));
    f.view.onReport({ .instance = "entry-30", .sequence = 1, .aggregators = { "gone", f.record.name } }, f.now);
    cr_expect(f.view.members(f.now).empty());
    f.reportAll();
    f.view.onReport({ .instance = "entry-30", .sequence = 100, .aggregators = { "gone", f.record.name } }, f.now);
    cr_expect_eq(f.view.members(f.now).size(), 1u);
}

/// Guards against instances that go by an old summary for ever, according to which no aggregator responds.
Test(FleetViewAggregators, oldSummaryNamedAllAggregatorsSilent_theyAreChosenAgain)
{
    FleetViewFixture f(weakInstance);
    auto own = f.view.ownAggregators();
    auto aggregators = f.view.aggregators(f.now);
    f.view.onSummary({ .aggregator = own.front(), .sequence = 1, .silentInstances = { aggregators.begin(), aggregators.end() } }, f.now);
    cr_expect(f.view.aggregators(f.now) != aggregators);
    f.advance(Milliseconds(1600));
    f.advance(Milliseconds(3100));
    cr_expect(f.view.aggregators(f.now) == aggregators);
}

Test(FleetViewAggregators, newProcessOfASuspectedAggregator_isNoLongerSuspected)
{
    FleetViewFixture f(weakInstance);
    auto first = f.view.ownAggregators().front();
    f.advance(Milliseconds(1600));
    cr_expect_neq(f.view.ownAggregators().front(), first);
    f.view.onRegistered(first + "/2", *f.view.find(first), f.now);
    f.advance(Milliseconds(100));
    cr_expect_eq(f.view.ownAggregators().front(), first);
}

Test(FleetViewAggregators, relayingPeers_summaryNamesThoseThatCannot)
{
    FleetViewFixture f(weakInstance);
    f.view.onSummary({ .aggregator = f.view.ownAggregators().front(), .sequence = 9, .silentInstances = { "entry-1" }, .instancesNotRelaying = { "entry-2" }, .unreachableServices = { { "entry-3", { "shop" } } } }, f.now);
    cr_expect_eq(f.view.relayingPeers("shop", f.now).size(), std::size_t(instances - 4));
    cr_expect_eq(f.view.relayingPeers("writer", f.now).size(), std::size_t(instances - 3));
}
