#include "keyvalue/tests/fakekeyvaluestore.h"
#include "net/tests/runcoroutine.h"
#include "usage/usagewriter.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// The first write takes longer than those after it.
class SlowFirstWriteStore : public FakeKeyValueStore {
public:
    Awaitable<Result<SwapResult>> compareAndSwap(SwapOptions options) override
    {
        bool isFirst = writes == 0;
        auto result = co_await FakeKeyValueStore::compareAndSwap(std::move(options));
        if (isFirst)
            co_await sleepFor(Milliseconds(100));
        co_return result;
    }
};

Awaitable<bool> flushTwiceAtOnce(asio::io_context& context, SlowFirstWriteStore& store, UsageLedger& ledger, UsageWriter& writer)
{
    asio::co_spawn(context, writer.flushChanges(), asio::detached);
    co_await sleepFor(Milliseconds(20));
    ledger.charge("a", { .requests = 1 });
    store.faults = { StoreFault::Outage, StoreFault::Outage, StoreFault::Outage, StoreFault::Outage, StoreFault::Outage, StoreFault::Outage };
    bool written = co_await writer.flushChanges();
    store.faults.clear();
    co_await sleepFor(Milliseconds(200));
    co_return written;
}

}

Test(UsageLedger, mergeRecordCopies_sameIncarnation_isNotCountedTwice)
{
    UsageByOrganisation earlier { { "a", { .promptTokens = 1, .outputTokens = 10, .requests = 1 } } };
    UsageByOrganisation later { { "a", { .promptTokens = 2, .outputTokens = 30, .requests = 2 } }, { "b", { .outputTokens = 5 } } };
    cr_expect(mergeRecordCopies(earlier, later) == later);
    cr_expect(mergeRecordCopies(later, earlier) == later);
    cr_expect(addRecords(earlier, later).at("a").outputTokens == 40);
    cr_expect(decodeUsage(encodeUsage(later)) == later);
    cr_expect(decodeUsage("malformed").empty());
}

Test(UsageWriter, flush_afterStoreFaults_totalIsExact)
{
    const std::vector<std::vector<StoreFault>> faultSequences {
        {},
        { StoreFault::LoseResponse },
        { StoreFault::Outage },
        { StoreFault::LoseResponse, StoreFault::LoseResponse },
        { StoreFault::RefuseWrite, StoreFault::LoseResponse, StoreFault::Outage },
    };
    for (const auto& faults : faultSequences) {
        asio::io_context context;
        auto store = std::make_shared<FakeKeyValueStore>();
        UsageLedger firstLedger;
        UsageLedger secondLedger;
        UsageWriter firstWriter(*store, firstLedger, usageKey("u/", "entry-1", "incarnation-1"));
        UsageWriter secondWriter(*store, secondLedger, usageKey("u/", "entry-1", "incarnation-2"));
        store->faults.assign(faults.begin(), faults.end());
        firstLedger.charge("a", { .promptTokens = 3, .outputTokens = 100, .requests = 1 });
        runCoroutine(context, firstWriter.flush());
        firstLedger.charge("a", { .outputTokens = 20 });
        secondLedger.charge("a", { .outputTokens = 7 });
        store->faults.clear();
        for (auto* writer : { &firstWriter, &firstWriter, &secondWriter })
            runCoroutine(context, writer->flush());
        auto total = *runCoroutine(context, readUsage(*store, "u/"));
        cr_expect(total.at("a") == (Usage { .promptTokens = 3, .outputTokens = 127, .requests = 1 }));
    }
}

Test(UsageWriter, flushChanges_withoutChanges_writesNothing)
{
    asio::io_context context;
    FakeKeyValueStore store;
    UsageLedger ledger;
    UsageWriter writer(store, ledger, usageKey("u/", "entry-1", "incarnation-1"));
    cr_expect(runCoroutine(context, writer.flushChanges()));
    cr_expect(runCoroutine(context, readUsage(store, "u/"))->empty());
    store.faults = { StoreFault::Outage, StoreFault::Outage, StoreFault::Outage, StoreFault::Outage };
    ledger.charge("a", { .outputTokens = 5 });
    cr_expect(!runCoroutine(context, writer.flushChanges()), "every attempt failed");
    store.faults.clear();
    cr_expect(runCoroutine(context, writer.flushChanges()), "retried with the next flush");
    cr_expect(runCoroutine(context, readUsage(store, "u/"))->at("a").outputTokens == 5);
}

namespace {

Awaitable<bool> writeAgain(UsageWriter& writer)
{
    co_await writer.writeAgain();
    co_return true;
}

}

/// Guards against lost use: totals that the store had acknowledged were written again only after the next request.
Test(UsageWriter, storeRestoredFromCopy_acknowledgedTotalsAreWrittenAgain)
{
    asio::io_context context;
    FakeKeyValueStore store;
    UsageLedger ledger;
    UsageWriter writer(store, ledger, usageKey("u/", "entry-1", "incarnation-1"));
    ledger.charge("a", { .outputTokens = 5 });
    cr_expect(runCoroutine(context, writer.flushChanges()));
    auto copy = store.model;
    ledger.charge("a", { .outputTokens = 7 });
    cr_expect(runCoroutine(context, writer.flushChanges()));
    store.model = copy;
    runCoroutine(context, writeAgain(writer));
    cr_expect(runCoroutine(context, readUsage(store, "u/"))->at("a").outputTokens == 12);
}

/// Guards against lost use: a write that failed was forgotten when an older one succeeded after it.
Test(UsageWriter, newerWriteFailsBeforeAnOlderOneSucceeds_changesAreWrittenNextTime)
{
    asio::io_context context;
    SlowFirstWriteStore store;
    UsageLedger ledger;
    UsageWriter writer(store, ledger, usageKey("u/", "entry-1", "incarnation-1"));
    ledger.charge("a", { .requests = 1 });
    cr_expect_not(runCoroutine(context, flushTwiceAtOnce(context, store, ledger, writer)));
    cr_expect(runCoroutine(context, writer.flushChanges()));
    cr_expect(runCoroutine(context, readUsage(store, "u/"))->at("a").requests == 2);
}
