#include "fleet/storereplica.h"

#include <criterion/criterion.h>
#include <sstream>

using namespace guavaspan;

namespace {

const BootTime start { Seconds(500) };

/// Values have the form "incarnation sequence state", of which a replica passes on what is not the sequence.
struct Value {
    int incarnation = 0;
    int sequence = 0;
    std::string state;

    explicit Value(const std::string& text) { std::istringstream(text) >> incarnation >> sequence >> state; }
};

void setUp(StoreReplica& replica)
{
    replica.setEntryOrder([](const std::string& key, const std::string& left, const std::string& right) -> std::optional<std::strong_ordering> {
        if (key != "target")
            return std::nullopt;
        Value leftValue(left);
        Value rightValue(right);
        auto order = leftValue.incarnation <=> rightValue.incarnation;
        return order == std::strong_ordering::equal ? leftValue.sequence <=> rightValue.sequence : order;
    });
    replica.setChangeFilter([](const std::string&, const std::string& left, const std::string& right) { return Value(left).state != Value(right).state || Value(left).incarnation != Value(right).incarnation; });
}

/// A replica of a store that executes some writes late.
struct LateWriteFixture {
    StoreReplica replica;
    std::optional<std::string> value;
    std::vector<std::string> outdated;
    BootTime now = start;
    std::int64_t revision = 10;

    LateWriteFixture()
    {
        setUp(replica);
        replica.setChangeListener([this](const std::string&, const std::optional<std::string>& newValue) { value = newValue; });
        replica.setOutdatedEntryListener([this](const std::string& key) { outdated.push_back(key); });
        replica.applyListing({ .entries = { { .key = "target", .value = "1 30 ready", .version = revision } }, .revision = { .number = revision } }, now);
    }

    void change(std::optional<std::string> newValue, Clock::duration delay = Milliseconds(1200), const std::string& key = "target")
    {
        now += delay;
        ++revision;
        replica.applyChanges({ .changes = { { .key = key, .value = std::move(newValue), .revision = revision } }, .revision = { .number = revision } }, now);
    }

    StoreChanges changesAfter(std::int64_t number) { return replica.changesAfter({ .number = number }, now); }
};

}

/// Guards against DRAIN: a heartbeat that the store executed after the removal of its entry brought the target back.
Test(LateWrite, afterTheRemovalOfTheEntry_isIgnoredAndNotPassedOn)
{
    LateWriteFixture f;
    f.change("1 31 ready");
    f.change(std::nullopt);
    auto removedAt = f.revision;
    f.change("1 30 ready");
    cr_expect(!f.value);
    cr_expect(f.changesAfter(removedAt).changes.empty());
    cr_expect(f.replica.listing(f.now).entries.empty());
    cr_expect_eq(f.outdated.size(), 1u);
    cr_expect_eq(f.replica.olderEntries(), 1u);
}

/// Guards against DRAIN: an old "ready" that was executed after "draining" replaced it.
Test(LateWrite, afterALaterEntry_isIgnoredUntilTheNextWrite)
{
    LateWriteFixture f;
    f.change("1 31 draining");
    f.change("1 29 ready");
    cr_expect(f.value == "1 31 draining");
    f.change("1 32 draining");
    cr_expect(f.value == "1 32 draining");
    f.change("2 1 ready");
    cr_expect(f.value == "2 1 ready", "the next incarnation is ignored");
    f.change("1 32 draining");
    cr_expect(f.value == "2 1 ready", "an entry of the earlier incarnation is applied");
}

/// A listing of the store shows the late write as the newest one.
Test(LateWrite, listedByTheStore_isIgnored)
{
    LateWriteFixture f;
    f.change("1 31 ready");
    f.change(std::nullopt);
    f.replica.applyListing({ .entries = { { .key = "target", .value = "1 30 ready", .version = 13 } }, .revision = { .number = 13 } }, f.now);
    cr_expect(!f.value);
}

/// An entry that expired, while its writer could not reach the store, is written again.
Test(LateWrite, entryIsWrittenAgainAfterItsRemoval_isApplied)
{
    for (const char* written : { "1 30 ready", "1 31 ready", "2 1 ready" }) {
        LateWriteFixture f;
        f.change(std::nullopt);
        f.change(written);
        cr_expect(f.value == written, "%s", written);
        cr_expect(f.outdated.empty());
    }
}

/// A target whose clock went back starts with an earlier time than its incarnation before.
Test(LateWrite, writerGoesOnWithOlderValues_isAppliedOnceTheyCannotBeLateWrites)
{
    LateWriteFixture f;
    f.change("0 1 ready");
    cr_expect(f.value != "0 1 ready");
    for (int sequence = 2; sequence < 10; ++sequence)
        f.change("0 " + std::to_string(sequence) + " ready");
    cr_expect(f.value == "0 9 ready");
}

Test(LateWrite, keyWithoutAnOrder_everyWriteIsApplied)
{
    LateWriteFixture f;
    f.change("1 9 b", Milliseconds(0), "other");
    f.change("1 8 a", Milliseconds(0), "other");
    cr_expect(f.value == "1 8 a");
}

/// Guards against DRAIN: a follower lacks the heartbeats by which its source recognises a late write.
Test(LateWrite, followerThatListsTheStore_ignoresItAsItsSourceDoes)
{
    LateWriteFixture source;
    LateWriteFixture follower;
    source.change("1 31 ready");
    source.change("1 32 ready");
    source.change(std::nullopt);
    follower.replica.applyChanges(source.changesAfter(10), source.now);
    cr_expect(!follower.value);
    follower.replica.applyListing({ .entries = { { .key = "target", .value = "1 31 ready", .version = 14 } }, .revision = { .number = 14 } }, source.now + Milliseconds(1));
    cr_expect(!follower.value);
}
