#include "claims/claimcommitter.h"
#include "claims/claimshard.h"
#include "keyvalue/tests/fakekeyvaluestore.h"
#include "net/tests/runcoroutine.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

const std::int64_t start = unixMilliseconds();

ClaimRequest request(const std::string& key, const std::string& nonce, const std::string& body = "body")
{
    return { .key = { .organisation = "o", .service = "valves", .key = key }, .bodyDigest = body, .nonce = nonce, .nowMs = start, .deadlineMs = start + 60000 };
}

Awaitable<> claimInto(ClaimCommitter& committer, ClaimRequest wanted, std::vector<ClaimVerdict>& verdicts)
{
    auto verdict = co_await committer.claim(std::move(wanted));
    verdicts.push_back(verdict);
}

struct ClaimsFixture {
    asio::io_context context;
    std::shared_ptr<FakeKeyValueStore> store = std::make_shared<FakeKeyValueStore>();
    ClaimCommitterOptions options { .batchWindow = Milliseconds(1), .pause = Milliseconds(1), .claimTimeout = Milliseconds(60), .settleTimeout = Milliseconds(60) };
    ClaimCommitter one { context, store, options };
    ClaimCommitter two { context, store, options };
};

}

Test(ClaimShard, stateTable_everyResend_getsItsAnswer)
{
    ClaimShard shard;
    cr_expect(shard.claim(request("k", "n1")) == ClaimVerdict(ClaimGranted {}));
    cr_expect(shard.claim(request("k", "n1")) == ClaimVerdict(ClaimGranted {}), "a lost answer: our own nonce is there");
    cr_expect(shard.claim(request("k", "n2")) == ClaimVerdict(ClaimInProgress {}));
    cr_expect(shard.claim(request("k", "n2", "other")) == ClaimVerdict(ClaimConflict {}));
    auto late = request("k", "n2");
    late.nowMs = start + 61000;
    cr_expect(shard.claim(late) == ClaimVerdict(ClaimOutcomeUnknown {}), "a holder that never came back");
    cr_expect_not(shard.settle({ .key = request("k", "").key, .nonce = "n2", .outcome = Outcome::Ran }), "only the holder settles");
    StoredReply reply { .status = 200, .contentType = "text/plain", .body = "done" };
    cr_expect(shard.settle({ .key = request("k", "").key, .nonce = "n1", .outcome = Outcome::Ran, .reply = reply }));
    cr_expect(shard.claim(request("k", "n3")) == ClaimVerdict(ClaimReplayed { .reply = reply }));
    cr_expect_not(shard.settle({ .key = request("k", "").key, .nonce = "n1", .outcome = Outcome::NotRun }), "what is done stays done");
}

Test(ClaimShard, settledNotRun_freesTheKey)
{
    ClaimShard shard;
    shard.claim(request("k", "n1"));
    shard.settle({ .key = request("k", "").key, .nonce = "n1", .outcome = Outcome::NotRun });
    cr_expect(shard.claim(request("k", "n2")) == ClaimVerdict(ClaimGranted {}));
}

Test(ClaimShard, encoding_keepsEverything)
{
    ClaimShard shard;
    shard.claim(request("a", "n1"));
    shard.claim(request("b", "n2"));
    shard.settle({ .key = request("b", "").key, .nonce = "n2", .outcome = Outcome::Ran, .reply = { .status = 201, .contentType = "x", .body = "\"quoted\"" } });
    auto decoded = ClaimShard::decode(shard.encode());
    cr_assert(decoded.has_value());
    cr_expect(*decoded == shard);
    cr_expect_not(ClaimShard::decode("{\"x\":3}").has_value());
}

Test(ClaimShard, retention_dropsOldClaims)
{
    ClaimShard shard;
    shard.claim(request("a", "n1"));
    shard.expire(start + 50, 100);
    cr_expect(shard.size() == 1);
    shard.expire(start + 101, 100);
    cr_expect(shard.size() == 0);
}

Test(ClaimCommitter, twoInstances_onlyOneIsGranted)
{
    ClaimsFixture f;
    std::vector<ClaimVerdict> verdicts;
    for (int i = 0; i < 10; ++i) {
        asio::co_spawn(f.context, claimInto(f.one, request("k", "one" + std::to_string(i)), verdicts), asio::detached);
        asio::co_spawn(f.context, claimInto(f.two, request("k", "two" + std::to_string(i)), verdicts), asio::detached);
    }
    f.context.run();
    auto granted = std::count(verdicts.begin(), verdicts.end(), ClaimVerdict(ClaimGranted {}));
    cr_expect(verdicts.size() == 20);
    cr_expect(granted == 1, "granted %ld times", granted);
}

Test(ClaimCommitter, manyClaimsOfOneShard_takeFewSwaps)
{
    ClaimsFixture f;
    std::vector<ClaimVerdict> verdicts;
    for (int i = 0; i < 200; ++i)
        asio::co_spawn(f.context, claimInto(f.one, request("k", "n" + std::to_string(i)), verdicts), asio::detached);
    f.context.run();
    cr_expect(verdicts.size() == 200);
    cr_expect(f.one.swaps() <= 3, "swaps %lu", static_cast<unsigned long>(f.one.swaps()));
}

namespace {

struct ClaimFault {
    const char* name;
    std::vector<StoreFault> faults;
    bool granted;
    bool reSendMayRun;
};

// Which fault strikes the store, and what the claimer and a later re-send may conclude.
const std::vector<ClaimFault> claimFaults {
    { "no fault", {}, true, false },
    { "answer lost after the write", { StoreFault::LoseResponse }, true, false },
    { "two answers lost in a row", { StoreFault::LoseResponse, StoreFault::LoseResponse }, true, false },
    { "refused by rate, then well", { StoreFault::RefuseWrite }, true, false },
    { "down for the whole attempt", std::vector<StoreFault>(2000, StoreFault::Outage), false, true },
    { "answer lost, then down", [] { std::vector<StoreFault> faults { StoreFault::LoseResponse }; faults.resize(2000, StoreFault::Outage); return faults; }(), false, false },
};

}

Test(ClaimCommitter, faultTable_neverTwoGrantsForOneKey)
{
    for (const auto& row : claimFaults) {
        ClaimsFixture f;
        f.store->faults.assign(row.faults.begin(), row.faults.end());
        auto verdict = runCoroutine(f.context, f.one.claim(request("k", "first")));
        bool granted = std::holds_alternative<ClaimGranted>(verdict);
        cr_expect(granted == row.granted, "%s: granted %d", row.name, granted);
        f.store->faults.clear();
        auto again = runCoroutine(f.context, f.two.claim(request("k", "second")));
        bool reSendRuns = std::holds_alternative<ClaimGranted>(again);
        cr_expect(reSendRuns == row.reSendMayRun, "%s: re-send %d", row.name, reSendRuns);
        cr_expect(!(granted && reSendRuns), "%s: two grants", row.name);
    }
}

Test(ClaimCommitter, settlementDuringOutage_isWrittenWhenTheStoreIsBack)
{
    ClaimsFixture f;
    runCoroutine(f.context, f.one.claim(request("k", "n1")));
    f.store->faults = { StoreFault::Outage, StoreFault::Outage, StoreFault::LoseResponse };
    bool settled = runCoroutine(f.context, f.one.settle({ .key = request("k", "").key, .nonce = "n1", .outcome = Outcome::Ran, .reply = { .body = "done" } }));
    cr_expect(settled);
    auto again = runCoroutine(f.context, f.two.claim(request("k", "n2")));
    cr_expect(std::holds_alternative<ClaimReplayed>(again));
}
