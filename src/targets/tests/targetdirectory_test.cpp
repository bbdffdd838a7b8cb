#include "targets/targetdirectory.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

struct DirectoryFixture {
    TargetDirectory directory;
    TimePoint now { Seconds(1000) };
    std::vector<std::pair<std::string, LeaveReason>> left;

    DirectoryFixture()
    {
        directory.onLeave([this](const TargetLeft& each) { left.emplace_back(each.entry.id, each.reason); });
    }

    static TargetEntry entry(const std::string& id, TargetState state = TargetState::Ready, std::int64_t startedAt = 1)
    {
        return { .id = id, .service = "writer", .endpoint = { .address = "10.0.0.1", .port = 80 }, .slots = 4, .state = state, .startedAt = startedAt };
    }

    void write(const TargetEntry& written) { directory.onWritten(written.id, written, now); }
};

}

Test(TargetDirectory, announcedLeave_takesNoNewWorkAndIsToldOnce)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.write(f.entry("a", TargetState::Leaving));
    f.write(f.entry("a", TargetState::Leaving));
    f.directory.onRemoved("a", f.now);
    cr_expect(f.directory.usable("writer").empty());
    cr_assert(f.left.size() == 1);
    cr_expect(f.left[0].second == LeaveReason::Announced);
}

Test(TargetDirectory, entryRemovedWithoutNotice_countsAsLeave)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.directory.onRemoved("a", f.now);
    cr_expect(!f.directory.isUsable("a"));
    cr_assert(f.left.size() == 1);
    cr_expect(f.left[0].second == LeaveReason::EntryRemoved);
}

Test(TargetDirectory, sameIdWithAnotherStart_isAnotherLife)
{
    DirectoryFixture f;
    f.write(f.entry("a", TargetState::Ready, 1));
    f.write(f.entry("a", TargetState::Ready, 2));
    cr_expect(f.directory.isUsable("a"));
    cr_assert(f.left.size() == 1);
    cr_expect(f.left[0].second == LeaveReason::Restarted);
}

Test(TargetDirectory, unreadableEntry_namesNoTargetAndLeavesOthersAlone)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.write(f.entry("b"));
    f.directory.onWritten("a", std::nullopt, f.now);
    cr_expect(!f.directory.isUsable("a"));
    cr_expect(f.directory.isUsable("b"));
}

Test(TargetDirectory, entriesLapsedWhileStoreWasAway_stayUntilTheyHadTimeToReturn)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.write(f.entry("b"));
    f.directory.onStoreLost(f.now);
    f.now += Seconds(5);
    f.directory.onStoreRegained(f.now);
    f.directory.onListed({}, f.now);
    cr_expect(f.directory.isUsable("a"));
    f.now += Milliseconds(1500);
    f.write(f.entry("a"));
    f.now += Milliseconds(600);
    f.directory.onTick(f.now);
    cr_expect(f.directory.isUsable("a"), "it came back in time");
    cr_expect(!f.directory.isUsable("b"), "it did not");
}

Test(TargetDirectory, leavingEntryRemovedAfterAnOutage_isGoneAtOnce)
{
    DirectoryFixture f;
    f.write(f.entry("a", TargetState::Leaving));
    f.directory.onStoreLost(f.now);
    f.directory.onStoreRegained(f.now);
    f.directory.onRemoved("a", f.now);
    cr_expect(f.directory.find("a") == nullptr);
}

Test(TargetDirectory, listing_removesWhatItLacksAndAddsTheRest)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.directory.onListed({ f.entry("b") }, f.now);
    cr_expect(!f.directory.isUsable("a"));
    cr_expect(f.directory.isUsable("b"));
}

Test(TargetDirectory, leaveThatTheTargetTold_holdsAgainstOlderEntriesOfThatLife)
{
    DirectoryFixture f;
    f.write(f.entry("a"));
    f.directory.onSaidToLeave("a", 1, f.now);
    f.directory.onSaidToLeave("a", 1, f.now);
    cr_expect(!f.directory.isUsable("a"));
    cr_assert(f.left.size() == 1);
    cr_expect(f.left[0].second == LeaveReason::AskedTarget);
    f.write(f.entry("a"));
    cr_expect(!f.directory.isUsable("a"), "written before it began to leave");
    f.directory.onRemoved("a", f.now);
    cr_expect(f.left.size() == 1, "told once");
}

Test(TargetDirectory, leaveOfAnEarlierLife_doesNotTouchTheNextOne)
{
    DirectoryFixture f;
    f.write(f.entry("a", TargetState::Ready, 1));
    f.directory.onSaidToLeave("a", 1, f.now);
    f.write(f.entry("a", TargetState::Ready, 2));
    cr_expect(f.directory.isUsable("a"));
    f.directory.onSaidToLeave("a", 1, f.now);
    cr_expect(f.directory.isUsable("a"));
}
