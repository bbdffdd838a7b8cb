#include "fleet/fleetview.h"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <memory>

using namespace guavaspan;

namespace {

/// The views of a fleet whose instances report to each other every 500 ms, except across a partition.
struct PartitionFixture {
    static constexpr int instances = 40;
    static constexpr int domains = 4;

    PartitionFixture()
    {
        for (int number = 0; number < instances; ++number) {
            InstanceRecord record { .name = fmt::format("entry-{}", number), .failureDomain = fmt::format("d{}", number % domains), .cpuMillicores = number < 2 * domains ? 500 : 120, .readsSummaries = true };
            views.emplace(record.name, std::make_unique<FleetView>(record.name, record.cpuMillicores, record.failureDomain));
            records.push_back(std::move(record));
        }
        for (auto& [name, view] : views) {
            for (const auto& record : records)
                view->onRegistered(record.name, record, now);
            view->onTick(now);
        }
    }

    bool isConnected(const std::string& left, const std::string& right) const { return cutOff.contains(left) == cutOff.contains(right); }

    void exchangeReports()
    {
        ++sequence;
        for (auto& [name, view] : views) {
            for (const auto& recipient : view->reportRecipients(now)) {
                ++reportsSent;
                if (isConnected(name, recipient))
                    views.at(recipient)->onReport({ .instance = name, .sequence = sequence, .relaysForPeers = true, .aggregators = view->ownAggregators() }, now);
            }
        }
        for (auto& [name, view] : views) {
            FleetSummary summary { .aggregator = name, .sequence = sequence, .silentInstances = view->silentInstances(now) };
            for (const auto& member : view->members(now)) {
                if (isConnected(name, member))
                    views.at(member)->onSummary(summary, now);
            }
        }
    }

    void run(Milliseconds duration)
    {
        constexpr auto interval = Milliseconds(500);
        for (Milliseconds elapsed { 0 }; elapsed < duration; elapsed += interval) {
            exchangeReports();
            now += interval;
            for (auto& [name, view] : views)
                view->onTick(now);
        }
    }

    std::set<std::string> owners() const
    {
        std::set<std::string> names;
        for (const auto& [name, view] : views)
            names.insert(view->ownerOf("writer", {}, now));
        return names;
    }

    TimePoint now { Seconds(100) };
    std::vector<InstanceRecord> records;
    std::map<std::string, std::unique_ptr<FleetView>> views;
    std::set<std::string> cutOff;
    std::int64_t sequence = 0;
    int reportsSent = 0;
};

}

// Guards against two groups that keep an owner each after a partition: neither's aggregators reported to the other's, so that
// generations were placed, and moves granted, by two instances that did not know of each other.
Test(FleetPartition, partitionHeals_allAgreeOnOneOwnerAgain)
{
    PartitionFixture f;
    f.run(Milliseconds(3000));
    auto before = f.owners();
    cr_assert_eq(before.size(), 1u);
    for (int number = 0; number < PartitionFixture::instances; ++number) {
        if (number % 3 == 1)
            f.cutOff.insert(fmt::format("entry-{}", number));
    }
    f.cutOff.insert(*before.begin());
    f.run(Milliseconds(10000));
    cr_expect_gt(f.owners().size(), 1u, "each side has an owner of its own");
    f.cutOff.clear();
    f.run(Milliseconds(6000));
    cr_expect(f.owners() == before, "%zu owners, %s first", f.owners().size(), f.owners().begin()->c_str());
}

// Guards against the reports across a former partition being sent for ever.
Test(FleetPartition, noPartition_instancesReportToTheChosenAggregatorsOnly)
{
    PartitionFixture f;
    f.run(Milliseconds(3000));
    f.reportsSent = 0;
    f.exchangeReports();
    cr_expect_eq(f.reportsSent, (PartitionFixture::instances - 1) * PartitionFixture::domains);
}
