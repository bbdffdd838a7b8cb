#include "keyvalue/tests/fakekeyvaluestore.h"
#include "net/tests/runcoroutine.h"
#include "usage/usagewriter.h"

#include <criterion/criterion.h>

using namespace guavaspan;

Test(UsageLedger, copiesOfOneLife_areNotCountedTwice)
{
    UsageByOrganisation early { { "a", { .promptTokens = 1, .outputTokens = 10, .requests = 1 } } };
    UsageByOrganisation late { { "a", { .promptTokens = 2, .outputTokens = 30, .requests = 2 } }, { "b", { .outputTokens = 5 } } };
    cr_expect(mergeRecordCopies(early, late) == late);
    cr_expect(mergeRecordCopies(late, early) == late);
    cr_expect(addRecords(early, late).at("a").outputTokens == 40);
    cr_expect(decodeUsage(encodeUsage(late)) == late);
    cr_expect(decodeUsage("nonsense").empty());
}

Test(UsageWriter, faultTable_totalIsExactOnceTheServiceAnswers)
{
    const std::vector<std::vector<StoreFault>> table {
        {},
        { StoreFault::LoseResponse },
        { StoreFault::Outage },
        { StoreFault::LoseResponse, StoreFault::LoseResponse },
        { StoreFault::RefuseWrite, StoreFault::LoseResponse, StoreFault::Outage },
    };
    for (const auto& faults : table) {
        asio::io_context context;
        auto store = std::make_shared<FakeKeyValueStore>();
        UsageLedger one;
        UsageLedger two;
        UsageWriter first(*store, one, usageKey("u/", "entry-1", "life-1"));
        UsageWriter second(*store, two, usageKey("u/", "entry-1", "life-2"));
        store->faults.assign(faults.begin(), faults.end());
        one.charge("a", { .promptTokens = 3, .outputTokens = 100, .requests = 1 });
        runCoroutine(context, first.flush());
        one.charge("a", { .outputTokens = 20 });
        two.charge("a", { .outputTokens = 7 });
        store->faults.clear();
        for (auto* writer : { &first, &first, &second })
            runCoroutine(context, writer->flush());
        auto total = *runCoroutine(context, readUsage(*store, "u/"));
        cr_expect(total.at("a") == (Usage { .promptTokens = 3, .outputTokens = 127, .requests = 1 }));
    }
}

Test(UsageWriter, nothingCharged_writesNothing)
{
    asio::io_context context;
    FakeKeyValueStore store;
    UsageLedger ledger;
    UsageWriter writer(store, ledger, usageKey("u/", "entry-1", "life-1"));
    cr_expect(runCoroutine(context, writer.flushChanges()));
    cr_expect(runCoroutine(context, readUsage(store, "u/"))->empty());
    store.faults = { StoreFault::Outage, StoreFault::Outage, StoreFault::Outage, StoreFault::Outage };
    ledger.charge("a", { .outputTokens = 5 });
    cr_expect(!runCoroutine(context, writer.flushChanges()), "three tries failed");
    store.faults.clear();
    cr_expect(runCoroutine(context, writer.flushChanges()), "kept until it is written");
    cr_expect(runCoroutine(context, readUsage(store, "u/"))->at("a").outputTokens == 5);
}
