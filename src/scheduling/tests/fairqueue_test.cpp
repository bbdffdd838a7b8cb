#include "scheduling/fairqueue.h"

#include <criterion/criterion.h>
#include <map>

using namespace guavaspan;

namespace {

struct FairQueueFixture {
    FairQueue queue;
    std::uint64_t sequence = 0;

    void push(const std::string& organisation, double weight = 1, ServiceClass serviceClass = ServiceClass::Batch)
    {
        queue.push({ .id = { .instance = 1, .sequence = ++sequence }, .organisation = organisation, .weight = weight, .serviceClass = serviceClass }, {});
    }

    /// Serves the first in order and charges it.
    std::string serve(double tokens)
    {
        auto name = queue.organisationsByShare().front();
        queue.pop(name);
        queue.onStarted(name);
        queue.charge(name, tokens);
        return name;
    }
};

}

Test(FairQueue, backlog_givesTokensByWeight)
{
    FairQueueFixture f;
    std::map<std::string, double> servedTokens;
    for (int i = 0; i < 4000; ++i) {
        f.push("large", 3);
        f.push("small", 1);
    }
    for (int i = 0; i < 2000; ++i) {
        double tokens = 1 + i % 7;
        servedTokens[f.serve(tokens)] += tokens;
    }
    double ratio = servedTokens["large"] / servedTokens["small"];
    cr_expect(ratio > 2.95 && ratio < 3.05, "ratio %f", ratio);
}

Test(FairQueue, lagBehindShare_isBoundedByOneRequest)
{
    // [GIVEN] one organisation with huge requests and one with small ones
    FairQueueFixture f;
    double hugeTokens = 0;
    double smallTokens = 0;
    double maxDifference = 0;
    for (int i = 0; i < 3000; ++i) {
        f.push("huge");
        f.push("small");
    }
    for (int i = 0; i < 2500; ++i) {
        auto name = f.queue.organisationsByShare().front();
        double tokens = name == "huge" ? 1000 : 10;
        f.serve(tokens);
        (name == "huge" ? hugeTokens : smallTokens) += tokens;
        maxDifference = std::max(maxDifference, std::abs(hugeTokens - smallTokens));
    }
    // [THEN] the difference never exceeds the largest request
    cr_expect(maxDifference <= 1010, "worst %f", maxDifference);
}

Test(FairQueue, idleOrganisation_earnsNoCredit)
{
    FairQueueFixture f;
    for (int i = 0; i < 100; ++i) {
        f.push("busy");
        f.serve(100);
    }
    f.push("returning");
    for (int i = 0; i < 10; ++i) {
        f.push("busy");
        f.push("returning");
    }
    int returningServed = 0;
    for (int i = 0; i < 10; ++i)
        returningServed += f.serve(100) == "returning";
    cr_expect(returningServed <= 6, "served %d of 10", returningServed);
}

Test(FairQueue, interactiveRequest_goesBeforeOwnBatch)
{
    FairQueueFixture f;
    f.push("a", 1, ServiceClass::Batch);
    f.push("a", 1, ServiceClass::Interactive);
    cr_expect(f.queue.pop("a").request.id.sequence == 2);
}

Test(FairQueue, withdrawnRequest_isGone)
{
    FairQueueFixture f;
    f.push("a");
    cr_expect(f.queue.withdraw({ .instance = 1, .sequence = 1 }));
    cr_expect(f.queue.organisationsByShare().empty());
    cr_expect(f.queue.size() == 0);
    cr_expect_not(f.queue.withdraw({ .instance = 1, .sequence = 1 }));
}
