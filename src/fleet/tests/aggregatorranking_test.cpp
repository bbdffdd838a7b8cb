#include "fleet/aggregatorranking.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

std::vector<InstanceRecord> fleetOf(int instances, int domains)
{
    std::vector<InstanceRecord> records;
    for (int number = 0; number < instances; ++number)
        records.push_back({ .name = "entry-" + std::to_string(number), .failureDomain = "d" + std::to_string(number % domains), .cpuMillicores = number < 2 * domains ? 500 : 120 });
    return records;
}

bool all(const std::string&)
{
    return true;
}

int numberOf(const std::string& name)
{
    return std::stoi(name.substr(name.find('-') + 1));
}

}

Test(AggregatorRanking, fiveDomains_oneStrongInstanceOfEachIsChosen)
{
    AggregatorRanking ranking(fleetOf(300, 5));
    auto chosen = ranking.choose(all);
    cr_assert_eq(chosen.size(), 5u);
    std::set<int> domains;
    for (const auto& name : chosen) {
        domains.insert(numberOf(name) % 5);
        cr_expect_lt(numberOf(name), 10, "those with the largest quota");
    }
    cr_expect_eq(domains.size(), 5u);
}

Test(AggregatorRanking, oneDomain_threeAreChosen)
{
    cr_expect_eq(AggregatorRanking(fleetOf(60, 1)).choose(all).size(), 3u);
}

Test(AggregatorRanking, largeDomains_eachAggregatorServesAtMost150)
{
    cr_expect_eq(AggregatorRanking(fleetOf(1600, 6)).choose(all).size(), 12u);
}

Test(AggregatorRanking, instancesInAnyOrder_rankingIsTheSame)
{
    auto records = fleetOf(100, 3);
    AggregatorRanking ranking(records);
    std::reverse(records.begin(), records.end());
    cr_expect(AggregatorRanking(records) == ranking);
}

Test(AggregatorRanking, firstChoiceIsUnavailable_nextOfTheDomainTakesItsPlace)
{
    AggregatorRanking ranking(fleetOf(300, 5));
    auto before = ranking.choose(all);
    auto lost = before.front();
    auto after = ranking.choose([&](const std::string& name) { return name != lost; });
    cr_assert_eq(after.size(), before.size());
    cr_expect(std::find(after.begin(), after.end(), lost) == after.end());
    cr_expect_eq(numberOf(after.front()) % 5, numberOf(lost) % 5);
    cr_expect(std::equal(after.begin() + 1, after.end(), before.begin() + 1), "the other domains keep theirs");
}
