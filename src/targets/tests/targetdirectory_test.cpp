#include "targets/targetdirectory.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

struct DirectoryFixture {
    TargetDirectory directory;
    TimePoint now { Seconds(1000) };
    std::vector<std::pair<std::string, UnavailableReason>> unavailable;

    DirectoryFixture()
    {
        directory.setUnavailableListener([this](const TargetUnavailable& event) { unavailable.emplace_back(event.entry.id, event.reason); });
    }

    static TargetEntry entry(const std::string& id, TargetState state = TargetState::Ready, std::int64_t startedAt = 1)
    {
        return { .id = id, .service = "writer", .endpoint = { .address = "10.0.0.1", .port = 80 }, .slots = 4, .state = state, .startedAt = startedAt };
    }

    void write(const TargetEntry& written) { directory.onEntryWritten(written.id, written, now); }
};

}

Test(TargetDirectory, announcedDraining_targetIsUnusableAndReportedOnce)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.write(f.entry("a", TargetState::Draining));
    f.write(f.entry("a", TargetState::Draining));
    f.directory.onEntryRemoved("a", f.now);
    cr_expect(f.directory.usableTargets("writer").empty());
    cr_assert(f.unavailable.size() == 1);
    cr_expect(f.unavailable[0].second == UnavailableReason::Announced);
}

Test(TargetDirectory, entryRemovedWithoutNotice_targetIsUnavailable)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.directory.onEntryRemoved("a", f.now);
    cr_expect(!f.directory.isUsable("a"));
    cr_assert(f.unavailable.size() == 1);
    cr_expect(f.unavailable[0].second == UnavailableReason::EntryRemoved);
}

Test(TargetDirectory, sameIdWithNewStart_countsAsRestart)
{
    DirectoryFixture f;
    f.write(f.entry("a", TargetState::Ready, 1));
    f.write(f.entry("a", TargetState::Ready, 2));
    cr_expect(f.directory.isUsable("a"));
    cr_assert(f.unavailable.size() == 1);
    cr_expect(f.unavailable[0].second == UnavailableReason::Restarted);
}

Test(TargetDirectory, sameIdWithNewStart_onlyNewIncarnationIsUsable)
{
    DirectoryFixture f;
    auto earlier = f.entry("a");
    auto later = f.entry("a", TargetState::Ready, 2);
    f.write(earlier);
    cr_expect(f.directory.isIncarnationUsable(earlier));
    f.write(later);
    cr_expect(f.directory.isIncarnationUsable(later));
    cr_expect(!f.directory.isIncarnationUsable(earlier));
}

Test(TargetDirectory, unreadableEntry_removesOnlyItsTarget)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.write(f.entry("b"));
    f.directory.onEntryWritten("a", std::nullopt, f.now);
    cr_expect(!f.directory.isUsable("a"));
    cr_expect(f.directory.isUsable("b"));
}

Test(TargetDirectory, entriesExpiredDuringStoreOutage_areKeptUntilRewriteDeadline)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.write(f.entry("b"));
    f.directory.onStoreLost(f.now);
    f.now += Seconds(5);
    f.directory.onStoreRegained(f.now);
    f.directory.onSnapshot({}, f.now);
    cr_expect(f.directory.isUsable("a"));
    f.now += Milliseconds(1500);
    f.write(f.entry("a"));
    f.now += Milliseconds(600);
    f.directory.onTick(f.now);
    cr_expect(f.directory.isUsable("a"), "its entry was written again in time");
    cr_expect(!f.directory.isUsable("b"), "its entry was not written again");
}

/// Guards against DRAIN: a removal waited for the target to write again, although only this instance had lost the store.
Test(TargetDirectory, entryRemovedAfterOnlyThisInstanceLostTheStore_isRemovedAtOnce)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.write(f.entry("b"));
    f.directory.onStoreLost(f.now);
    f.directory.onEntryRemoved("a", f.now);
    cr_expect(f.directory.isUsable("a"), "whether the store was lost is not known yet");
    f.directory.onStoreNotLost();
    f.directory.onTick(f.now);
    cr_expect(!f.directory.isUsable("a"));
    f.directory.onEntryRemoved("b", f.now);
    cr_expect(!f.directory.isUsable("b"));
}

/// Guards against lost engines: a deadline was reckoned from the end of an earlier outage.
Test(TargetDirectory, entryExpiredInASecondOutage_isKeptUntilRewriteDeadline)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.directory.onStoreLost(f.now);
    f.directory.onStoreRegained(f.now);
    f.now += Seconds(20);
    f.directory.onStoreLost(f.now);
    f.directory.onEntryRemoved("a", f.now);
    f.directory.onTick(f.now);
    cr_expect(f.directory.isUsable("a"));
}

Test(TargetDirectory, drainingEntryRemovedAfterOutage_isRemovedAtOnce)
{
    DirectoryFixture f;
    f.write(f.entry("a", TargetState::Draining));
    f.directory.onStoreLost(f.now);
    f.directory.onStoreRegained(f.now);
    f.directory.onEntryRemoved("a", f.now);
    cr_expect(f.directory.find("a") == nullptr);
}

Test(TargetDirectory, snapshot_removesMissingTargetsAndAddsNewOnes)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.directory.onSnapshot({ f.entry("b") }, f.now);
    cr_expect(!f.directory.isUsable("a"));
    cr_expect(f.directory.isUsable("b"));
}

Test(TargetDirectory, drainingReportedByTarget_overridesOlderEntriesOfSameIncarnation)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.directory.onDrainingReported("a", 1, f.now);
    f.directory.onDrainingReported("a", 1, f.now);
    cr_expect(!f.directory.isUsable("a"));
    cr_assert(f.unavailable.size() == 1);
    cr_expect(f.unavailable[0].second == UnavailableReason::AskedTarget);
    f.write(f.entry("a"));
    cr_expect(!f.directory.isUsable("a"), "the entry was written before draining began");
    f.directory.onEntryRemoved("a", f.now);
    cr_expect(f.unavailable.size() == 1, "the target is reported as unavailable only once");
}

Test(TargetDirectory, drainingOfEarlierIncarnation_doesNotAffectRestartedTarget)
{
    DirectoryFixture f;
    f.write(f.entry("a", TargetState::Ready, 1));
    f.directory.onDrainingReported("a", 1, f.now);
    f.write(f.entry("a", TargetState::Ready, 2));
    cr_expect(f.directory.isUsable("a"));
    f.directory.onDrainingReported("a", 1, f.now);
    cr_expect(f.directory.isUsable("a"));
}

// Guards against a target that removed its entry and is not asked whether it is leaving.
Test(TargetDirectory, entryRemovedDuringOutage_isMissingUntilWrittenAgain)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.write(f.entry("b"));
    f.directory.onStoreLost(f.now);
    f.directory.onEntryRemoved("a", f.now);
    cr_expect(f.directory.isEntryMissing("a"));
    cr_expect(f.directory.isUsable("a"));
    cr_expect(!f.directory.isEntryMissing("b"));
    f.write(f.entry("a"));
    cr_expect(!f.directory.isEntryMissing("a"));
}

/// Guards against DRAIN: a heartbeat that the store executed late made a target usable again that had said it leaves and removed its entry.
Test(TargetDirectory, entryOfDrainingIncarnationReturns_staysUnusable)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.directory.onDrainingReported("a", 1, f.now);
    f.directory.onEntryRemoved("a", f.now);
    f.write(f.entry("a"));
    cr_expect(!f.directory.isUsable("a"));
    cr_expect(f.unavailable.size() == 1, "it is reported as unavailable only once");
    f.write(f.entry("a", TargetState::Ready, 2));
    cr_expect(f.directory.isUsable("a"), "the next incarnation is unusable");
    f.write(f.entry("a"));
    cr_expect(!f.directory.isUsable("a"), "a late heartbeat of the earlier incarnation made it usable");
}

/// Guards against DRAIN: the same, if the target says that it leaves only after its entry was removed.
Test(TargetDirectory, drainingReportedAfterTheEntryWasRemoved_entryThatReturnsStaysUnusable)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.directory.onEntryRemoved("a", f.now);
    f.directory.onDrainingReported("a", 1, f.now);
    f.directory.onTick(f.now + Seconds(10));
    f.write(f.entry("a"));
    cr_expect(!f.directory.isUsable("a"));
}

/// Guards against DRAIN: the same, if the target drains for longer than a report without an entry is kept.
Test(TargetDirectory, entryRemovedLongAfterTheReport_entryThatReturnsStaysUnusable)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.directory.onDrainingReported("a", 1, f.now);
    for (int seconds = 0; seconds < 90; ++seconds) {
        f.now += Seconds(1);
        f.directory.onTick(f.now);
    }
    f.directory.onEntryRemoved("a", f.now);
    f.directory.onTick(f.now + Seconds(5));
    f.write(f.entry("a"));
    cr_expect(!f.directory.isUsable("a"));
}

Test(TargetDirectory, drainingReportOfTargetWithoutStartTime_endsWithItsEntry)
{
    DirectoryFixture f;
    f.write(f.entry("a", TargetState::Ready, 0));
    f.directory.onDrainingReported("a", 0, f.now);
    f.directory.onEntryRemoved("a", f.now);
    f.directory.onDrainingReported("a", 0, f.now);
    f.write(f.entry("a", TargetState::Ready, 0));
    cr_expect(f.directory.isUsable("a"));
}
