#include "net/memorybudget.h"

#include <criterion/criterion.h>
#include <memory>
#include <vector>

using namespace guavaspan;

namespace {

constexpr std::size_t mebibyte = 1 << 20;
constexpr std::size_t smallBytes = 16 << 10;

struct BudgetFixture {
    explicit BudgetFixture(MemoryLimits limits)
        : budget(limits)
    {
    }

    /// A connection that reads a request of this size.
    MemoryAccount& connect(const std::string& address, std::size_t bytes = 0)
    {
        auto number = accounts.size();
        accounts.push_back(std::make_unique<MemoryAccount>(
            budget, address, [this, number](ShedCause) { shed.push_back(number); }, now));
        opened = accounts.back()->open(now);
        accounts.back()->hold(MemoryUse::Request, bytes, now);
        return *accounts.back();
    }

    void passTime(int milliseconds) { now += std::chrono::milliseconds(milliseconds); }

    MemoryBudget budget;
    std::vector<std::size_t> shed;
    std::vector<std::unique_ptr<MemoryAccount>> accounts;
    TimePoint now {};
    bool opened = false;
};

using Numbers = std::vector<std::size_t>;

}

/// Guards against a budget that leaves nothing for the program, or nothing for the largest legal request.
Test(MemoryBudget, limits_leaveAReserve)
{
    for (std::size_t megabytes : { 8, 64, 88, 260 }) {
        auto limits = connectionLimitsFor({ .memoryBytes = megabytes * mebibyte, .descriptors = 4100 });
        cr_expect_geq(limits.bytes - limits.bytes / 8, 9 * mebibyte, "%zu MB", megabytes);
        if (megabytes >= 64)
            cr_expect_leq(limits.bytes, (megabytes - 32) * mebibyte, "%zu MB", megabytes);
        cr_expect_eq(limits.descriptors, 4100 - 512);
    }
}

/// Guards against unfinished requests that keep others out: the one that stopped is shed, not the one that still arrives.
Test(MemoryBudget, stuckRequest_isShedBeforeGrowingOne)
{
    // given
    BudgetFixture f({ .bytes = 8 * mebibyte });
    f.connect("a", 3 * mebibyte);
    f.passTime(500);
    auto& growing = f.connect("a", 3 * mebibyte);
    // when
    bool granted = growing.hold(MemoryUse::Request, 4 * mebibyte + smallBytes, f.now);
    // then
    cr_expect(granted);
    cr_expect(f.shed == Numbers { 0 });
    cr_expect_eq(f.budget.heldBytes(), 4 * mebibyte + smallBytes);
}

/// Guards against one address that keeps another's requests out by opening more connections.
Test(MemoryBudget, addressThatHoldsMost_isShedFirst)
{
    // given
    BudgetFixture f({ .bytes = 8 * mebibyte });
    f.connect("ordinary", mebibyte);
    for (int number = 0; number < 6; ++number)
        f.connect("greedy", mebibyte);
    // when
    f.passTime(10);
    f.connect("ordinary", mebibyte);
    // then
    cr_expect_eq(f.shed.size(), 1);
    cr_expect_neq(f.shed.front(), 0);
}

/// Guards against large requests that fill the budget and leave nothing for ordinary ones.
Test(MemoryBudget, smallRequest_findsRoomBesideRunningLargeOnes)
{
    // given
    BudgetFixture f({ .bytes = 8 * mebibyte });
    auto& running = f.connect("a", 7 * mebibyte);
    running.setState(HolderState::Handling, f.now);
    // when
    auto& large = f.connect("b");
    auto& small = f.connect("c");
    // then
    cr_expect_not(large.hold(MemoryUse::Request, mebibyte, f.now), "a request that may run is not shed");
    cr_expect(small.hold(MemoryUse::Request, smallBytes, f.now));
    cr_expect(f.shed.empty());
    cr_expect_eq(f.budget.shedCount(HolderState::Reading, ShedCause::Memory), 1);
}

/// Guards against a stream that is cut for a neighbour whose caller does not read.
Test(MemoryBudget, unreadAnswer_isShedBeforeNeighbours)
{
    // given
    BudgetFixture f({ .bytes = 8 * mebibyte });
    auto& reading = f.connect("a");
    auto& unread = f.connect("a");
    for (auto* account : { &reading, &unread }) {
        account->setState(HolderState::Handling, f.now);
        account->hold(MemoryUse::Answer, 3 * mebibyte, f.now);
        account->setState(HolderState::Answering, f.now);
    }
    f.passTime(1000);
    reading.onProgress(f.now);
    // when
    f.connect("b", 2 * mebibyte);
    // then
    cr_expect(f.shed == Numbers { 1 });
    cr_expect_not(unread.hold(MemoryUse::Answer, 4 * mebibyte, f.now), "what was shed holds no more");
}

/// Guards against running out of descriptors: each request that runs needs a second one for its target.
Test(MemoryBudget, unfinishedRequests_giveDescriptorsBack)
{
    // given
    BudgetFixture f({ .bytes = 8 * mebibyte, .descriptors = 4 });
    for (int number = 0; number < 4; ++number) {
        f.connect("a");
        f.passTime(100);
    }
    // when
    auto& ordinary = f.connect("b");
    bool hasTarget = ordinary.setState(HolderState::Handling, f.now);
    // then
    cr_expect(f.opened);
    cr_expect(hasTarget);
    cr_expect(f.shed == Numbers({ 0, 1 }));
    cr_expect_eq(f.budget.heldDescriptors(), 4);
    // A connection is refused if all others run requests.
    for (auto number : { 2, 3 })
        f.accounts[static_cast<std::size_t>(number)]->setState(HolderState::Handling, f.now);
    f.connect("c");
    cr_expect_not(f.opened);
}

/// Guards against callers that do not read their answers and so keep others out. Seen with 260 MB and 96 descriptors.
Test(MemoryBudget, unreadAnswers_giveDescriptorsBackAfterAllOthers)
{
    // given
    BudgetFixture f({ .bytes = 8 * mebibyte, .descriptors = 5 });
    for (int number = 0; number < 2; ++number) {
        auto& unread = f.connect("a");
        unread.setState(HolderState::Handling, f.now);
        unread.setState(HolderState::Answering, f.now);
        f.passTime(10000);
    }
    f.connect("b").setState(HolderState::Idle, f.now);
    // when
    f.connect("c").setState(HolderState::Idle, f.now);
    bool hasTarget = f.connect("d").setState(HolderState::Handling, f.now);
    // then
    cr_expect(hasTarget);
    cr_expect(f.shed == Numbers({ 2, 3, 0 }));
}

/// Guards against memory that stays counted after its connection ended.
Test(MemoryBudget, endedConnections_holdNothing)
{
    BudgetFixture f({ .bytes = 8 * mebibyte, .descriptors = 8 });
    f.connect("a", 5 * mebibyte);
    f.connect("b", 4 * mebibyte);
    f.accounts.clear();
    cr_expect_eq(f.budget.heldBytes(), 0);
    cr_expect_eq(f.budget.heldDescriptors(), 0);
}
