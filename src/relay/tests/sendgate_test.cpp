#include "relay/sendgate.h"

#include "net/tests/runcoroutine.h"
#include "quarantine/tests/silentpromptguardtransport.h"
#include "quarantine/tests/trialsstub.h"

#include <criterion/criterion.h>
#include <thread>

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

    TrialsStub trials;

    SilentPromptGuardTransport promptGuardTransport;
    PromptGuard promptGuard { "self", promptGuardTransport, [](const PromptPartRecord&) {} };

    SendGateFixture()
    {
        for (const auto& target : { first(), second() })
            directory.onEntryWritten(target.id, target, Clock::now());
        targetLimits.onInstances({}, Clock::now());
    }

    static TargetEntry first() { return { .id = "first", .service = "shop", .endpoint = { .address = "10.0.0.1", .port = 1 }, .startedAt = 1 }; }
    static TargetEntry second() { return { .id = "second", .service = "shop", .endpoint = { .address = "10.0.0.1", .port = 2 }, .startedAt = 1 }; }

    SendGate gate() { return { { .crashGuard = crashGuard, .promptGuard = promptGuard, .trials = trials, .targetLimits = targetLimits, .directory = directory, .dispatcher = dispatcher }, "shop", fingerprint, { promptPart }, Milliseconds(100) }; }

    void pause(const TargetEntry& target) { targetLimits.onPauseRequested(target, Seconds(5), Clock::now()); }

    void suspendRequest() { interruptRequest(3); }

    void interruptRequest(int times)
    {
        for (int number = 1; number <= times; ++number) {
            TargetEntry crashed { .id = "crashed-" + std::to_string(number), .startedAt = 1 };
            auto sentAt = Clock::now() - Seconds(10 - number);
            crashGuard.onUnanswered({ .fingerprint = fingerprint, .target = crashed, .sentAt = sentAt, .lastHeardAt = sentAt, .onTrial = crashGuard.needsTrial(fingerprint) }, sentAt + Milliseconds(10));
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

/// Guards against an overloaded cold target: a cold target without a share here counts as a place for requests.
Test(SendGate, coldTargetWithoutShare_isPassedOverAndRefusedIfAllAre)
{
    SendGateFixture f;
    auto now = Clock::now();
    f.targetLimits.setColdServices({ { "shop", 31 } }, now);
    f.targetLimits.onWarmUpAnswer(f.first(), Seconds(60), now);
    auto gate = f.gate();
    cr_expect(!gate.refusal());
    cr_expect(gate.excludedTargets() == std::set<std::string> { "first" });
    cr_expect(!gate.tryClaim(f.first()));
    cr_expect(gate.tryClaim(f.second()));
    f.targetLimits.onWarmUpAnswer(f.second(), Milliseconds(300), now);
    auto refusal = gate.refusal();
    cr_assert(refusal.has_value());
    cr_expect(std::string(refusal->reason) == "targets_limited");
    cr_expect(refusal->retryAfter < Seconds(1), "the second target is warm soon");
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

/// Guards against BUDGET: a request under which engines had ended was sent to several others at the same time.
Test(SendGate, requestNeedsTrial_isSentOnTrialOnly)
{
    SendGateFixture f;
    auto gate = f.gate();
    cr_expect(!gate.needsTrial());
    cr_expect(!gate.onTrial(), "it is not suspected yet");
    f.interruptRequest(2);
    cr_expect(!gate.tryClaim(f.first()));
    cr_expect(runCoroutine(f.io, gate.startTrial(1, f.first())));
    cr_expect(gate.onTrial() && gate.tryClaim(f.first()));
    cr_assert(f.trials.trials.size() == 1);
    Trial expected { .suspects = { SendGateFixture::fingerprint }, .target = "first" };
    cr_expect(f.trials.trials[0] == expected);
    gate.endTrial(TrialEnd::Broken);
    cr_expect(f.trials.ends == std::vector { TrialEnd::Broken });
    cr_expect(!gate.tryClaim(f.second()), "the next send needs a trial of its own");
}

Test(SendGate, anotherSuspectIsOnTrialAtTheTarget_anotherTargetIsPlaced)
{
    SendGateFixture f;
    f.interruptRequest(2);
    f.trials.decision = TrialDecision::TargetOnTrial;
    auto gate = f.gate();
    cr_expect(!runCoroutine(f.io, gate.startTrial(1, f.first())));
    cr_expect(gate.excludedTargets() == std::set<std::string> { "first" });
    cr_expect(gate.excludedTargets().empty(), "the trial there may have ended");
    gate.exclude("second");
    cr_expect(!runCoroutine(f.io, gate.startTrial(2, f.first())));
    cr_expect(gate.excludedTargets() == std::set<std::string> { "second" }, "no other target is left");
}

Test(SendGate, suspectIsOnTrialElsewhere_requestIsRefusedAfterAWhile)
{
    SendGateFixture f;
    f.interruptRequest(2);
    f.trials.decision = TrialDecision::SuspectOnTrial;
    auto gate = f.gate();
    cr_expect(!runCoroutine(f.io, gate.startTrial(1, f.first())));
    cr_expect(!gate.refusal());
    std::this_thread::sleep_for(Milliseconds(510));
    auto refusal = gate.refusal();
    cr_assert(refusal.has_value());
    cr_expect(std::string(refusal->reason) == "suspect_on_trial");
    f.crashGuard.onCompleted(SendGateFixture::fingerprint, Clock::now(), Clock::now());
    cr_expect(!gate.refusal(), "it has been answered elsewhere");
}

/// Guards against LOST: a popular request was refused because one answer of it was lost.
Test(SendGate, trialHasJustBroken_requestWaitsUntilTheTargetAnswers)
{
    SendGateFixture f;
    f.interruptRequest(2);
    auto now = Clock::now();
    f.crashGuard.onUnanswered({ .fingerprint = SendGateFixture::fingerprint, .target = f.first(), .sentAt = now - Milliseconds(20), .lastHeardAt = now, .onTrial = true }, now);
    auto gate = f.gate();
    cr_expect(!gate.refusal());
    cr_expect(!runCoroutine(f.io, gate.startTrial(1, f.second())));
    cr_expect(f.trials.trials.empty());
    f.crashGuard.onTargetAnswered(f.first(), now + Milliseconds(1));
    cr_expect(!gate.refusal());
    cr_expect(runCoroutine(f.io, gate.startTrial(2, f.second())));
}

/// Guards against LOST: a trial at an address whose engine had just crashed was taken for a crash by the request on trial.
Test(SendGate, targetAtTheSameAddressMayHaveCrashed_noTrialStartsThere)
{
    SendGateFixture f;
    f.interruptRequest(2);
    auto successor = f.first();
    successor.id = "successor";
    f.directory.onEntryWritten(successor.id, successor, Clock::now());
    auto now = Clock::now();
    constexpr Fingerprint other = 8;
    f.crashGuard.onUnanswered({ .fingerprint = other, .target = successor, .sentAt = now - Milliseconds(20), .lastHeardAt = now }, now);
    auto gate = f.gate();
    cr_expect(!runCoroutine(f.io, gate.startTrial(1, f.first())));
    cr_expect(f.trials.trials.empty());
    cr_expect(runCoroutine(f.io, gate.startTrial(2, f.second())));
}

/// Guards against a request that is sent to a domain whose evacuation began after it was placed there.
Test(SendGate, targetEvacuatedAfterPlacement_isNotClaimed)
{
    SendGateFixture f;
    auto evacuated = f.first();
    evacuated.failureDomain = "north";
    f.directory.onEntryWritten(evacuated.id, evacuated, Clock::now());
    auto gate = f.gate();
    cr_expect(!gate.refusal());
    f.directory.evacuations().onEvacuated("north", Clock::now());
    cr_expect(!gate.tryClaim(evacuated));
    cr_expect(gate.excludedTargets() == std::set<std::string> { "first" }, "the owner may not know of it yet");
    cr_expect(!gate.refusal(), "the other target is usable");
    cr_expect(gate.tryClaim(f.second()));
}

Test(SendGate, allTargetsEvacuated_requestIsRefusedWithAConstantDelay)
{
    SendGateFixture f;
    f.directory.evacuations().onEvacuated(f.first().failureDomain, Clock::now());
    auto refusal = f.gate().refusal();
    cr_assert(refusal.has_value());
    cr_expect(std::string(refusal->reason) == "domains_evacuated");
    cr_expect(refusal->retryAfter >= Seconds(4) && refusal->retryAfter <= Seconds(7));
}
