#include "keyvalue/tests/fakekeyvaluestore.h"
#include "net/tests/runcoroutine.h"
#include "usage/usagecustodian.h"
#include "usage/usagewriter.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

Awaitable<bool> checkRecords(UsageCustodian& custodian, TimePoint now)
{
    co_await custodian.checkDueRecords(now);
    co_return true;
}

struct CustodianFixture {
    asio::io_context context;
    FakeKeyValueStore store;
    UsageCustodian custodian { store };
    TimePoint now { Seconds(1000) };
    UsageRecord record { .key = "u/entry-1/1", .totals = { { "a", { .promptTokens = 3, .outputTokens = 9, .requests = 2 } } } };

    void checkAfter(Milliseconds time)
    {
        now += time;
        runCoroutine(context, checkRecords(custodian, now));
    }

    UsageByOrganisation recorded() { return *runCoroutine(context, readUsage(store, "u/")); }
};

}

/// Guards against lost use: a store that is silent until an instance has stopped never got its last record.
Test(UsageCustodian, recordMissingInStore_isWritten)
{
    CustodianFixture f;
    f.custodian.accept(f.record, f.now);
    f.checkAfter(Milliseconds(100));
    cr_expect_eq(f.store.writes, 0, "the instance that stops may still write it");
    f.store.faults = { StoreFault::Outage };
    f.checkAfter(Seconds(3));
    f.checkAfter(Seconds(3));
    cr_expect(f.recorded() == f.record.totals);
}

Test(UsageCustodian, recordInStore_isNotWrittenAgain)
{
    CustodianFixture f;
    UsageLedger ledger;
    UsageWriter writer(f.store, ledger, f.record.key);
    ledger.charge("a", f.record.totals.at("a"));
    cr_expect(runCoroutine(f.context, writer.flush()));
    f.custodian.accept(f.record, f.now);
    f.checkAfter(Seconds(3));
    f.checkAfter(Seconds(3));
    cr_expect_eq(f.store.writes, 1);
    cr_expect_eq(f.store.reads, 1);
}

/// Guards against use billed twice: custodians of one record must not add up their copies.
Test(UsageCustodian, severalCustodiansAndOlderCopies_countOnce)
{
    CustodianFixture f;
    UsageCustodian other(f.store);
    auto older = f.record;
    older.totals["a"] = { .promptTokens = 1, .outputTokens = 4, .requests = 1 };
    f.custodian.accept(f.record, f.now);
    f.custodian.accept(older, f.now);
    other.accept(older, f.now);
    f.checkAfter(Seconds(3));
    runCoroutine(f.context, checkRecords(other, f.now));
    cr_expect(f.recorded() == f.record.totals);
}

/// Guards against lost use: a stopped instance cannot write again what the store acknowledged and lost.
Test(UsageCustodian, storeRestoredFromCopy_recordIsWrittenAgain)
{
    CustodianFixture f;
    auto copy = f.store.model;
    f.custodian.accept(f.record, f.now);
    f.checkAfter(Seconds(3));
    f.store.model = copy;
    f.custodian.checkAgain(f.now);
    f.checkAfter(Milliseconds(0));
    cr_expect(f.recorded() == f.record.totals);
}

Test(UsageCustodian, recordLongInStore_isDropped)
{
    CustodianFixture f;
    f.custodian.accept(f.record, f.now);
    f.checkAfter(Seconds(3));
    cr_expect_eq(f.custodian.records().size(), 1);
    f.now += Seconds(90);
    f.custodian.checkAgain(f.now);
    cr_expect(f.custodian.records().empty());
}

Test(UsageRecords, codec_validAndMalformedBytes_roundTripsOrRejects)
{
    CustodianFixture f;
    std::vector<UsageRecord> records { f.record, { .key = "u/2" } };
    cr_expect(decodeUsageRecords(encodeUsageRecords(records)) == records);
    for (const char* bytes : { "", "x", "\x81\x01", "\xa0\x00" })
        cr_expect(!decodeUsageRecords(bytes).has_value());
}
