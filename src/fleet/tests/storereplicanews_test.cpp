#include "fleet/storereplica.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

const BootTime now { Seconds(100) };

/// A replica in which the first word of a value is its content and the rest a heartbeat.
struct NewsFixture {
    NewsFixture()
    {
        replica.setChangeFilter([](const std::string&, const std::string& left, const std::string& right) { return left.substr(0, left.find(' ')) != right.substr(0, right.find(' ')); });
        replica.setNewsListener([this] { ++announcements; });
        replica.setChangeListener([this](const std::string&, const std::optional<std::string>& newValue) { value = newValue; });
        replica.applyListing({ .entries = { { .key = "a", .value = "ready 1", .version = 4 } }, .revision = { .number = 5 } }, now);
        announcements = 0;
    }

    void change(std::optional<std::string> newValue, std::int64_t revision)
    {
        replica.applyChanges({ .changes = { { .key = "a", .value = std::move(newValue), .revision = revision } }, .revision = { .number = revision } }, now);
    }

    StoreChanges changesAfter(std::int64_t revision) { return replica.changesAfter({ .number = revision }, now); }

    StoreReplica replica;
    int announcements = 0;
    std::optional<std::string> value;
};

}

Test(StoreReplicaNews, heartbeat_isAppliedAndNotPassedOn)
{
    NewsFixture f;
    f.change("ready 2", 6);
    cr_expect(f.value == "ready 2");
    cr_expect_eq(f.announcements, 0);
    auto changes = f.changesAfter(5);
    cr_expect(changes.changes.empty());
    cr_expect(!changes.historyLost);
    cr_expect_eq(changes.revision.number, 6, "the follower is as current as the replica");
}

Test(StoreReplicaNews, contentChangesAfterHeartbeats_isPassedOnToFollowersAtAnyRevision)
{
    NewsFixture f;
    f.change("ready 2", 6);
    f.change("draining 3", 7);
    f.change("draining 4", 8);
    cr_expect_eq(f.announcements, 1);
    for (std::int64_t revision : { 5, 6 }) {
        auto changes = f.changesAfter(revision);
        cr_assert_eq(changes.changes.size(), 1u);
        cr_expect(changes.changes.front().value == "draining 4");
    }
    cr_expect(f.changesAfter(7).changes.empty());
}

Test(StoreReplicaNews, removalAndReturn_arePassedOn)
{
    NewsFixture f;
    f.change(std::nullopt, 6);
    cr_assert_eq(f.changesAfter(5).changes.size(), 1u);
    f.change("ready 1", 7);
    cr_expect_eq(f.announcements, 2);
    auto changes = f.changesAfter(6);
    cr_assert_eq(changes.changes.size(), 1u);
    cr_expect(changes.changes.front().value == "ready 1");
}

/// A follower that lacks the heartbeats must end up with the same content as its source, whatever the order of changes.
Test(StoreReplicaNews, followerOfAFollowedReplica_hasTheSameContent)
{
    NewsFixture source;
    NewsFixture follower;
    const char* const values[] = { "ready 2", "ready 3", "draining 4", "draining 5", "ready 6", "ready 7" };
    std::int64_t revision = 5;
    for (const auto* newValue : values) {
        source.change(newValue, ++revision);
        if (revision % 2 == 0)
            follower.replica.applyChanges(source.replica.changesAfter(follower.replica.revision(), now), now);
    }
    follower.replica.applyChanges(source.replica.changesAfter(follower.replica.revision(), now), now);
    cr_expect(follower.replica.revision() == source.replica.revision());
    cr_expect(follower.value->starts_with("ready"));
}
