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

    void accept(const UsageRecord& accepted) { custodian.accept({ .record = accepted }, now); }

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
    f.accept(f.record);
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
    f.accept(f.record);
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
    f.accept(f.record);
    f.accept(older);
    other.accept({ .record = older }, f.now);
    f.checkAfter(Seconds(3));
    runCoroutine(f.context, checkRecords(other, f.now));
    cr_expect(f.recorded() == f.record.totals);
}

/// Guards against lost use: a stopped instance cannot write again what the store acknowledged and lost.
Test(UsageCustodian, storeRestoredFromCopy_recordIsWrittenAgain)
{
    CustodianFixture f;
    auto copy = f.store.model;
    f.accept(f.record);
    f.checkAfter(Seconds(3));
    f.store.model = copy;
    f.custodian.checkAgain(f.now);
    f.checkAfter(Milliseconds(0));
    cr_expect(f.recorded() == f.record.totals);
}

Test(UsageCustodian, recordLongInStore_isDropped)
{
    CustodianFixture f;
    f.accept(f.record);
    f.checkAfter(Seconds(3));
    cr_expect_eq(f.custodian.heldUsage(f.now).size(), 1);
    f.now += Seconds(90);
    f.custodian.checkAgain(f.now);
    cr_expect(f.custodian.heldUsage(f.now).empty());
}

/// Guards against copies of records that multiply: custodians that stop one after the other hand them on, each for a minute more.
Test(UsageCustodian, recordHandedOn_keepsItsAgeAndNeedsNoCheck)
{
    CustodianFixture f;
    f.accept(f.record);
    f.checkAfter(Seconds(3));
    f.now += Seconds(37);
    auto handedOn = f.custodian.heldUsage(f.now);
    cr_assert_eq(handedOn.size(), 1);
    cr_expect(handedOn.front() == HandedUsage({ .record = f.record, .age = Seconds(40), .inStore = true }));
    UsageCustodian next(f.store);
    next.accept(handedOn.front(), f.now);
    auto reads = f.store.reads;
    f.now += Seconds(10);
    runCoroutine(f.context, checkRecords(next, f.now));
    cr_expect_eq(f.store.reads, reads, "the store had the record");
    cr_expect_eq(next.heldUsage(f.now).size(), 1);
    f.now += Seconds(15);
    cr_expect(next.heldUsage(f.now).empty());
}

Test(UsageCustodian, copyWithMoreUsage_isCheckedAgain)
{
    CustodianFixture f;
    f.accept(f.record);
    f.checkAfter(Seconds(3));
    auto later = f.record;
    later.totals["a"].requests += 1;
    f.accept(later);
    f.checkAfter(Seconds(3));
    cr_expect(f.recorded() == later.totals);
}

Test(HandedUsage, codec_validAndMalformedBytes_roundTripsOrRejects)
{
    CustodianFixture f;
    std::vector<HandedUsage> usage { { .record = f.record, .age = Milliseconds(7), .inStore = true }, { .record = { .key = "u/2" } } };
    cr_expect(decodeHandedUsage(encodeHandedUsage(usage)) == usage);
    for (const char* bytes : { "", "x", "\x81\x01", "\xa0\x00" })
        cr_expect(!decodeHandedUsage(bytes).has_value());
}
