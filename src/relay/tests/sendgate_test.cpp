#include "relay/sendgate.h"

#include "quarantine/tests/silentpromptguardtransport.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// A request for a service with two targets.
struct SendGateFixture {
    static constexpr Fingerprint fingerprint = 7;
    static constexpr PromptPart promptPart = 9;

    asio::io_context io;
    TargetDirectory directory;
    Dispatcher dispatcher { io, directory, "north", Random(3) };
    TargetLimits targetLimits { "self" };
    CrashGuard crashGuard { [](const CrashGuardMessage&) {}, [](const CrashRecord&) {} };

    SilentPromptGuardTransport promptGuardTransport;
    PromptGuard promptGuard { "self", promptGuardTransport, [](const PromptPartRecord&) {} };

    SendGateFixture()
    {
        for (const auto& target : { first(), second() })
            directory.onEntryWritten(target.id, target, Clock::now());
        targetLimits.onInstances({}, Clock::now());
    }

    static TargetEntry first() { return { .id = "first", .service = "shop", .startedAt = 1 }; }
    static TargetEntry second() { return { .id = "second", .service = "shop", .startedAt = 1 }; }

    SendGate gate() { return { { .crashGuard = crashGuard, .promptGuard = promptGuard, .targetLimits = targetLimits, .directory = directory, .dispatcher = dispatcher }, "shop", fingerprint, { promptPart } }; }

    void pause(const TargetEntry& target) { targetLimits.onPauseRequested(target, Seconds(5), Clock::now()); }

    void suspendRequest()
    {
        for (int number : { 1, 2, 3 }) {
            TargetEntry crashed { .id = "crashed-" + std::to_string(number), .startedAt = 1 };
            auto sentAt = Clock::now() + Seconds(number);
            crashGuard.onUnanswered({ .fingerprint = fingerprint, .target = crashed, .sentAt = sentAt, .lastHeardAt = sentAt }, sentAt + Milliseconds(10));
        }
    }
};

}

Test(SendGate, nothingStated_allTargetsMayBeClaimed)
{
    SendGateFixture f;
    auto gate = f.gate();
    cr_expect(!gate.refusal());
    cr_expect(gate.excludedTargets().empty());
    cr_expect(gate.tryClaim(f.first()));
}

Test(SendGate, oneTargetLimited_isPassedOver)
{
    SendGateFixture f;
    f.pause(f.first());
    auto gate = f.gate();
    cr_expect(!gate.refusal());
    cr_expect(gate.excludedTargets() == std::set<std::string> { "first" });
    cr_expect(!gate.tryClaim(f.first()));
    cr_expect(gate.tryClaim(f.second()));
    gate.exclude("second");
    std::set<std::string> both { "first", "second" };
    cr_expect(gate.excludedTargets() == both);
}

Test(SendGate, allTargetsLimited_requestIsRefusedUntilOneTakesRequests)
{
    SendGateFixture f;
    f.pause(f.first());
    f.pause(f.second());
    auto refusal = f.gate().refusal();
    cr_assert(refusal.has_value());
    cr_expect(std::string(refusal->reason) == "targets_limited");
    cr_expect(refusal->retryAfter > Milliseconds(4900));
}

Test(SendGate, shareTakenWhileRequestsWait_isRefusedInTheEnd)
{
    SendGateFixture f;
    f.targetLimits.onAnswer(f.first(), 1.0, Clock::now());
    auto gate = f.gate();
    int claims = 0;
    while (!gate.refusal() && claims < 10) {
        cr_expect(!gate.tryClaim(f.first()));
        ++claims;
    }
    cr_expect(claims < 10);
}

Test(SendGate, requestSuspendedWhileItWaits_isNotSent)
{
    SendGateFixture f;
    auto gate = f.gate();
    cr_expect(!gate.refusal());
    f.suspendRequest();
    cr_expect(!gate.tryClaim(f.first()));
    auto refusal = gate.refusal();
    cr_assert(refusal.has_value());
    cr_expect(std::string(refusal->reason) == "crashes_targets");
}

Test(SendGate, promptPartConvictedWhileRequestWaits_requestIsNotSent)
{
    SendGateFixture f;
    auto gate = f.gate();
    cr_expect(!gate.refusal());
    f.promptGuard.onPeerMessage(PromptPartConviction { .instance = "peer", .part = SendGateFixture::promptPart }, Clock::now());
    cr_expect(!gate.tryClaim(f.first()));
    auto refusal = gate.refusal();
    cr_assert(refusal.has_value());
    cr_expect(std::string(refusal->reason) == "prompt_part_crashes_targets");
}
