#include "quarantine/trialledger.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

struct TrialLedgerFixture {
    static TrialId id(const char* instance, std::uint64_t number) { return { .instance = instance, .incarnation = 1, .number = number }; }

    TrialDecision start(const TrialId& trial, std::vector<Suspect> suspects, const char* target) { return ledger.start(trial, { .suspects = std::move(suspects), .target = target }, now); }

    TrialLedger ledger;
    TimePoint now { Seconds(100) };
};

}

Test(TrialLedger, oneSuspect_isOnTrialOnceAtATime)
{
    TrialLedgerFixture f;
    cr_expect(f.start(f.id("a", 1), { 7 }, "first") == TrialDecision::Granted);
    cr_expect(f.start(f.id("b", 1), { 7 }, "second") == TrialDecision::SuspectOnTrial);
    cr_expect(f.start(f.id("a", 1), { 7 }, "first") == TrialDecision::Granted, "it is repeated");
    f.ledger.end(f.id("a", 1), TrialEnd::Answered, f.now);
    cr_expect(f.start(f.id("b", 1), { 7 }, "second") == TrialDecision::Granted);
}

Test(TrialLedger, severalSuspects_areOnTrialAtDifferentTargets)
{
    TrialLedgerFixture f;
    cr_expect(f.start(f.id("a", 1), { 7 }, "first") == TrialDecision::Granted);
    cr_expect(f.start(f.id("a", 2), { 8 }, "first") == TrialDecision::TargetOnTrial);
    cr_expect(f.start(f.id("a", 2), { 8 }, "second") == TrialDecision::Granted);
    cr_expect(f.start(f.id("a", 3), { 9, 8 }, "third") == TrialDecision::SuspectOnTrial, "one of its suspects is");
}

/// Guards against BUDGET: the next trial began before all instances knew that the last one had broken.
Test(TrialLedger, trialBreaksOrFallsSilent_suspectAndTargetStayOnTrialForAWhile)
{
    TrialLedgerFixture f;
    f.start(f.id("a", 1), { 7 }, "first");
    f.ledger.end(f.id("a", 1), TrialEnd::Broken, f.now);
    cr_expect(f.start(f.id("b", 1), { 7 }, "second") == TrialDecision::SuspectOnTrial);
    cr_expect(f.start(f.id("b", 1), { 8 }, "first") == TrialDecision::TargetOnTrial);
    f.now += Milliseconds(200);
    cr_expect(f.start(f.id("b", 1), { 7 }, "second") == TrialDecision::Granted);
    f.ledger.end(f.id("b", 1), TrialEnd::Silent, f.now);
    f.now += Milliseconds(3500);
    cr_expect(f.start(f.id("a", 2), { 7 }, "third") == TrialDecision::SuspectOnTrial, "the entry of its target has not expired yet");
    f.now += Milliseconds(1000);
    cr_expect(f.start(f.id("a", 2), { 7 }, "third") == TrialDecision::Granted);
}

Test(TrialLedger, instanceIsGone_itsTrialEnds)
{
    TrialLedgerFixture f;
    f.start(f.id("a", 1), { 7 }, "first");
    f.now += Milliseconds(1100);
    cr_expect(f.start(f.id("b", 1), { 7 }, "first") == TrialDecision::Granted);
    cr_expect(f.ledger.size() == 1);
}
