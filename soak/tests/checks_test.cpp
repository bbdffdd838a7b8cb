#include "soak/checks.h"
#include "soak/constants.h"

#include <criterion/criterion.h>

using namespace guavaspan::soak;

namespace {

/// One order that an engine ran and a caller saw answered; each test breaks one thing.
struct ChecksFixture {
    SoakRecord record;

    ChecksFixture()
    {
        record.organisationOfKey["key"] = "org";
        record.attempts.push_back({ .id = "a", .kind = RequestKind::Order, .path = orderPath, .key = "key", .instance = "i", .life = 1, .sentAt = 100000, .endedAt = 100050, .sent = true, .status = 200, .sealed = true, .complete = true });
        record.engineRecords.push_back({ .attempt = "a", .engine = "e", .organisation = "org", .at = 100010 });
    }

    Attempt& attempt() { return record.attempts.front(); }

    std::string promise() const
    {
        auto found = findViolations(record);
        return found.empty() ? "" : found.front().promise;
    }
};

}

Test(SoakChecks, requestThatWentWell_breaksNothing)
{
    ChecksFixture f;
    cr_expect(f.promise().empty());
}

Test(SoakChecks, secondRunOfAnOrder_isFound)
{
    ChecksFixture f;
    f.record.engineRecords.push_back({ .attempt = "a", .engine = "e2", .organisation = "org", .at = 100020 });
    cr_expect(f.promise() == "non-idempotent work runs at most once");
    f.attempt().kind = RequestKind::Lookup;
    cr_expect(f.promise().empty(), "lookups may run again");
    f.attempt().kind = RequestKind::Stream;
    f.record.engineRecords.back().event = EngineRecord::Event::Resume;
    cr_expect(f.promise().empty(), "a run that goes on is the same run");
}

Test(SoakChecks, refusalOfWhatRan_isFound)
{
    ChecksFixture f;
    f.attempt().status = 503;
    f.attempt().complete = true;
    cr_expect(f.promise() == "a refusal says the truth");
}

Test(SoakChecks, answersThatAreNotAnEngines_areFound)
{
    ChecksFixture f;
    f.attempt().sealed = false;
    cr_expect(f.promise() == "an answer is an engine's own");
    f.attempt().sealed = true;
    f.attempt().fault = "piece 4 where 3 was due";
    cr_expect(f.promise() == "each piece once, in order, from one run");
    f.attempt().fault.clear();
    f.record.engineRecords.clear();
    cr_expect(f.promise() == "an answer is an engine's own");
}

Test(SoakChecks, keysAndOrganisations_areChecked)
{
    ChecksFixture f;
    f.record.engineRecords.front().organisation = "other";
    cr_expect(f.promise() == "work runs for the key's organisation");
    f.record.engineRecords.front().organisation = "org";
    f.record.revokedKeys["key"] = f.attempt().sentAt - revocationBound.count() - 1;
    cr_expect(f.promise() == "a key that was taken away runs nothing");
    f.record.revokedKeys["key"] = f.attempt().sentAt - 1000;
    cr_expect(f.promise().empty(), "the bound is not over");
    f.attempt().key = "unknown";
    cr_expect(f.promise() == "only known keys run");
}

Test(SoakChecks, configurationAtInstancesInTouch_isHeldToItsBound)
{
    ChecksFixture f;
    f.record.engineRecords.clear();
    f.attempt() = { .id = "a", .path = "/new/", .key = "key", .instance = "i", .life = 1, .sentAt = 100000, .endedAt = 100050, .sent = true, .status = 404, .complete = true };
    f.record.addedPaths["/new/"] = 97000;
    cr_expect(f.promise() == "a configuration is in force everywhere in seconds");
    f.record.disturbances.push_back({ .subject = "i", .from = 96000, .to = 98000 });
    cr_expect(f.promise().empty(), "it was out of touch");
    auto earlier = f.attempt();
    earlier.status = 200;
    earlier.sealed = true;
    earlier.id = "b";
    earlier.sentAt = 99000;
    earlier.endedAt = 99050;
    f.record.attempts.push_back(earlier);
    f.record.engineRecords.push_back({ .attempt = "b", .engine = "e", .organisation = "org", .at = 99010 });
    cr_expect(f.promise() == "a configuration never reverts");
}

Test(SoakChecks, leavingEngine_getsNothingNewAfterTheBound)
{
    ChecksFixture f;
    f.record.leavingEngines["e"] = 97000;
    cr_expect(f.promise() == "a leaving engine gets nothing new");
    f.record.leavingEngines["e"] = 99000;
    cr_expect(f.promise().empty());
}

Test(SoakChecks, requestCutByAPlannedStop_isFound)
{
    ChecksFixture f;
    f.attempt().status = 0;
    f.attempt().complete = false;
    f.record.disturbances.push_back({ .subject = "i", .from = 99000, .to = 105000, .planned = true });
    cr_expect(f.promise() == "a planned stop cuts nothing");
    f.record.disturbances.push_back({ .subject = enginesSubject, .from = 99000, .to = 99900 });
    cr_expect(f.promise().empty(), "an engine may have broken off");
}

Test(SoakChecks, servedShare_countsWhatIsOwedWhenCalm)
{
    ChecksFixture f;
    f.record.calmSince = 90000;
    cr_expect(servedWhenCalm(f.record) == 1);
    f.attempt().status = 503;
    cr_expect(servedWhenCalm(f.record) == 0);
    f.record.calmSince = 99000;
    cr_expect(servedWhenCalm(f.record) == 0, "nothing is owed yet, and nothing was shown");
}

Test(SoakChecks, billsAreHeldAgainstWhatCallersGot)
{
    ChecksFixture f;
    f.record.billedRequests["org"] = 1;
    f.record.recordsComplete = true;
    cr_expect(f.promise().empty());
    f.record.billedRequests["org"] = 2;
    cr_expect(f.promise() == "use is billed once");
    f.record.billedRequests["org"] = 0;
    cr_expect(f.promise() == "use is billed once");
    f.record.recordsComplete = false;
    cr_expect(f.promise().empty(), "a kill loses what was not on record");
}
