#include "claims/claimcommitter.h"
#include "claims/claimshard.h"
#include "keyvalue/tests/fakekeyvaluestore.h"
#include "net/tests/runcoroutine.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

const std::int64_t startMs = unixMilliseconds();

ClaimRequest request(const std::string& key, const std::string& nonce, const std::string& body = "body")
{
    return { .key = { .organisation = "o", .service = "valves", .key = key }, .bodyDigest = body, .nonce = nonce, .nowMs = startMs, .deadlineMs = startMs + 60000 };
}

Awaitable<> claimAndAppend(ClaimCommitter& committer, ClaimRequest claimRequest, std::vector<ClaimVerdict>& verdicts)
{
    auto verdict = co_await committer.claim(std::move(claimRequest));
    verdicts.push_back(verdict);
}

struct ClaimsFixture {
    asio::io_context context;
    std::shared_ptr<FakeKeyValueStore> store = std::make_shared<FakeKeyValueStore>();
    ClaimCommitterOptions options { .batchWindow = Milliseconds(1), .retryInterval = Milliseconds(1), .claimTimeout = Milliseconds(60), .settleTimeout = Milliseconds(60) };
    ClaimCommitter firstCommitter { context, store, options };
    ClaimCommitter secondCommitter { context, store, options };
};

}

Test(ClaimShard, claim_inEachState_returnsMatchingVerdict)
{
    ClaimShard shard;
    cr_expect(shard.claim(request("k", "n1")) == ClaimVerdict(ClaimGranted {}));
    cr_expect(shard.claim(request("k", "n1")) == ClaimVerdict(ClaimGranted {}), "repeated after a lost answer with the same nonce");
    cr_expect(shard.claim(request("k", "n2")) == ClaimVerdict(ClaimInProgress {}));
    cr_expect(shard.claim(request("k", "n2", "other")) == ClaimVerdict(ClaimConflict {}));
    auto lateRequest = request("k", "n2");
    lateRequest.nowMs = startMs + 61000;
    cr_expect(shard.claim(lateRequest) == ClaimVerdict(ClaimOutcomeUnknown {}), "the holder missed its deadline without a settlement");
    cr_expect_not(shard.settle({ .key = request("k", "").key, .nonce = "n2", .outcome = Outcome::Ran }), "settled with the nonce of another attempt");
    StoredReply reply { .status = 200, .contentType = "text/plain", .body = "done" };
    cr_expect(shard.settle({ .key = request("k", "").key, .nonce = "n1", .outcome = Outcome::Ran, .reply = reply }));
    cr_expect(shard.claim(request("k", "n3")) == ClaimVerdict(ClaimReplayed { .reply = reply }));
    cr_expect_not(shard.settle({ .key = request("k", "").key, .nonce = "n1", .outcome = Outcome::NotRun }), "settled again after completion");
}

Test(ClaimShard, settle_notRun_releasesKey)
{
    ClaimShard shard;
    shard.claim(request("k", "n1"));
    shard.settle({ .key = request("k", "").key, .nonce = "n1", .outcome = Outcome::NotRun });
    cr_expect(shard.claim(request("k", "n2")) == ClaimVerdict(ClaimGranted {}));
}

Test(ClaimShard, encodeAndDecode_storedClaims_areUnchanged)
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

Test(ClaimShard, expire_retentionElapsed_dropsClaim)
{
    ClaimShard shard;
    shard.claim(request("a", "n1"));
    shard.expire(startMs + 50, 100);
    cr_expect(shard.size() == 1);
    shard.expire(startMs + 101, 100);
    cr_expect(shard.size() == 0);
}

Test(ClaimCommitter, claim_sameKeyOnTwoInstances_isGrantedOnce)
{
    ClaimsFixture fixture;
    std::vector<ClaimVerdict> verdicts;
    for (int i = 0; i < 10; ++i) {
        asio::co_spawn(fixture.context, claimAndAppend(fixture.firstCommitter, request("k", "first" + std::to_string(i)), verdicts), asio::detached);
        asio::co_spawn(fixture.context, claimAndAppend(fixture.secondCommitter, request("k", "second" + std::to_string(i)), verdicts), asio::detached);
    }
    fixture.context.run();
    auto granted = std::count(verdicts.begin(), verdicts.end(), ClaimVerdict(ClaimGranted {}));
    cr_expect(verdicts.size() == 20);
    cr_expect(granted == 1, "granted %ld times", granted);
}

Test(ClaimCommitter, claim_manyOfOneShard_areBatched)
{
    ClaimsFixture fixture;
    std::vector<ClaimVerdict> verdicts;
    for (int i = 0; i < 200; ++i)
        asio::co_spawn(fixture.context, claimAndAppend(fixture.firstCommitter, request("k", "n" + std::to_string(i)), verdicts), asio::detached);
    fixture.context.run();
    cr_expect(verdicts.size() == 200);
    cr_expect(fixture.firstCommitter.swapAttempts() <= 3, "%lu swap attempts", static_cast<unsigned long>(fixture.firstCommitter.swapAttempts()));
}

namespace {

struct ClaimFaultCase {
    const char* name;
    std::vector<StoreFault> faults;
    bool expectGranted;
    bool expectResendGranted;
};

// Faults of the store, and whether the claim and a later resend of the request are granted.
const std::vector<ClaimFaultCase> claimFaultCases {
    { "no fault", {}, true, false },
    { "answer lost after the write", { StoreFault::LoseResponse }, true, false },
    { "two answers lost in a row", { StoreFault::LoseResponse, StoreFault::LoseResponse }, true, false },
    { "write refused once", { StoreFault::RefuseWrite }, true, false },
    { "outage during the whole attempt", std::vector<StoreFault>(2000, StoreFault::Outage), false, true },
    { "answer lost, then outage", [] { std::vector<StoreFault> faults { StoreFault::LoseResponse }; faults.resize(2000, StoreFault::Outage); return faults; }(), false, false },
};

}

Test(ClaimCommitter, claim_storeFaults_neverGrantsKeyTwice)
{
    for (const auto& faultCase : claimFaultCases) {
        ClaimsFixture fixture;
        fixture.store->faults.assign(faultCase.faults.begin(), faultCase.faults.end());
        auto verdict = runCoroutine(fixture.context, fixture.firstCommitter.claim(request("k", "first")));
        bool granted = std::holds_alternative<ClaimGranted>(verdict);
        cr_expect(granted == faultCase.expectGranted, "%s: granted %d", faultCase.name, granted);
        fixture.store->faults.clear();
        auto resendVerdict = runCoroutine(fixture.context, fixture.secondCommitter.claim(request("k", "second")));
        bool resendGranted = std::holds_alternative<ClaimGranted>(resendVerdict);
        cr_expect(resendGranted == faultCase.expectResendGranted, "%s: resend granted %d", faultCase.name, resendGranted);
        cr_expect(!(granted && resendGranted), "%s: granted twice", faultCase.name);
    }
}

Test(ClaimCommitter, settle_duringOutage_isWrittenAfterRecovery)
{
    ClaimsFixture fixture;
    runCoroutine(fixture.context, fixture.firstCommitter.claim(request("k", "n1")));
    fixture.store->faults = { StoreFault::Outage, StoreFault::Outage, StoreFault::LoseResponse };
    bool settled = runCoroutine(fixture.context, fixture.firstCommitter.settle({ .key = request("k", "").key, .nonce = "n1", .outcome = Outcome::Ran, .reply = { .body = "done" } }));
    cr_expect(settled);
    auto resendVerdict = runCoroutine(fixture.context, fixture.secondCommitter.claim(request("k", "n2")));
    cr_expect(std::holds_alternative<ClaimReplayed>(resendVerdict));
}
