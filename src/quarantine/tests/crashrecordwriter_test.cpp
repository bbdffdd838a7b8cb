#include "keyvalue/tests/fakekeyvaluestore.h"
#include "net/tests/runcoroutine.h"
#include "quarantine/crashrecordwriter.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

struct WriterFixture {
    asio::io_context context;
    FakeKeyValueStore store;
    CrashRecordWriter writer { store, "crashes/" };
    CrashReport report { .fingerprint = ~0ULL, .target = "engine-1", .incarnation = "1" };

    bool writeQueued() { return runCoroutine(context, writer.writeQueued()); }
    std::vector<KeyValueEntry> entries() { return *runCoroutine(context, store.list("crashes/")); }
};

}

Test(CrashRecordWriter, reportQueuedRepeatedly_isWrittenOnce)
{
    WriterFixture f;
    f.writer.add(f.report);
    f.writer.add(f.report);
    cr_expect(f.writeQueued());
    cr_expect(f.store.writes == 1);
    cr_assert(f.entries().size() == 1);
    cr_expect(decodeCrashRecord(f.entries().front().value) == StoredCrashRecord(f.report));
}

Test(CrashRecordWriter, storeFaults_reportIsWrittenInTheEnd)
{
    for (auto fault : { StoreFault::Outage, StoreFault::LoseResponse, StoreFault::RefuseWrite }) {
        WriterFixture f;
        f.store.faults = { fault };
        f.writer.add(f.report);
        cr_expect(!f.writeQueued());
        cr_expect(f.writeQueued());
        cr_expect(f.entries().size() == 1);
    }
}

Test(CrashRecordWriter, crashesOfOneRequestAndItsPeersRecords_doNotOverwriteEachOther)
{
    WriterFixture f;
    CrashRecordWriter peer(f.store, "crashes/");
    auto otherTarget = f.report;
    otherTarget.target = "engine-2";
    for (auto* writer : { &f.writer, &peer }) {
        writer->add(f.report);
        writer->add(otherTarget);
        cr_expect(runCoroutine(f.context, writer->writeQueued()));
    }
    cr_expect(f.entries().size() == 2);
}

Test(CrashRecordWriter, conviction_isKeptBesideTheCrashes)
{
    WriterFixture f;
    f.writer.add(f.report);
    f.writer.add(ConvictionNotice { .fingerprint = f.report.fingerprint });
    cr_expect(f.writeQueued());
    auto entries = f.entries();
    cr_assert(entries.size() == 2);
    cr_expect(decodeCrashRecord(entries.back().value) == StoredCrashRecord(ConvictionNotice { .fingerprint = f.report.fingerprint }));
}

/// Guards against BUDGET: crashes that the store had acknowledged and lost were unknown to instances that start later.
Test(CrashRecordWriter, storeRestoredFromCopy_latestRecordsAreWrittenAgain)
{
    WriterFixture f;
    auto copy = f.store.model;
    f.writer.add(f.report);
    cr_expect(f.writeQueued());
    f.store.model = copy;
    f.writer.writeAgain();
    cr_expect(f.writeQueued());
    cr_expect(f.entries().size() == 1);
}

Test(CrashRecord, malformedRecord_isNotDecoded)
{
    for (const char* text : { "", "[]", "{}", "[1]", "[1,2,3]", "[\"xyz\",\"t\",\"1\"]", "[\"7\",\"t\"]" })
        cr_expect(!decodeCrashRecord(text), "%s", text);
}

Test(CrashRecordWriter, convictedPart_isReadBackAndNotTakenForARequest)
{
    WriterFixture f;
    PromptPartRecord record { .part = ~0ULL };
    f.writer.add(record);
    f.writer.add(ConvictionNotice { .fingerprint = ~0ULL });
    cr_expect(f.writeQueued());
    cr_assert(f.entries().size() == 2);
    cr_expect(decodeCrashRecord(encodeCrashRecord(record)) == StoredCrashRecord(record));
}
