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
        record.organisationByKey["key"] = "org";
        record.attempts.push_back({ .id = "a", .type = RequestType::Order, .path = orderPath, .apiKey = "key", .instance = "i", .incarnation = 1, .sentAt = 100000, .endedAt = 100050, .requestSent = true, .status = 200, .sealed = true, .responseComplete = true });
        record.engineRecords.push_back({ .attemptId = "a", .engineId = "e", .organisation = "org", .recordedAt = 100010 });
    }

    Attempt& attempt() { return record.attempts.front(); }

    std::string firstBrokenPromise() const
    {
        auto violations = findViolations(record);
        return violations.empty() ? "" : violations.front().promise;
    }
};

}

Test(SoakChecks, findViolations_validRecord_returnsNone)
{
    ChecksFixture f;
    cr_expect(f.firstBrokenPromise().empty());
}

Test(SoakChecks, findViolations_orderExecutedTwice_reportsViolation)
{
    ChecksFixture f;
    f.record.engineRecords.push_back({ .attemptId = "a", .engineId = "e2", .organisation = "org", .recordedAt = 100020 });
    cr_expect(f.firstBrokenPromise() == "non-idempotent work runs at most once");
    f.attempt().type = RequestType::Lookup;
    cr_expect(f.firstBrokenPromise().empty(), "lookups may run again");
    f.attempt().type = RequestType::Stream;
    f.record.engineRecords.back().event = EngineRecord::Event::Resume;
    cr_expect(f.firstBrokenPromise().empty(), "a run that goes on is the same run");
}

Test(SoakChecks, findViolations_executedRequestRefused_reportsViolation)
{
    ChecksFixture f;
    f.attempt().status = 503;
    f.attempt().responseComplete = true;
    cr_expect(f.firstBrokenPromise() == "a refusal says the truth");
}

Test(SoakChecks, findViolations_responseNotFromEngine_reportsViolation)
{
    ChecksFixture f;
    f.attempt().sealed = false;
    cr_expect(f.firstBrokenPromise() == "an answer is an engine's own");
    f.attempt().sealed = true;
    f.attempt().contentError = "piece 4 where 3 was due";
    cr_expect(f.firstBrokenPromise() == "each piece once, in order, from one run");
    f.attempt().contentError.clear();
    f.record.engineRecords.clear();
    cr_expect(f.firstBrokenPromise() == "an answer is an engine's own");
}

Test(SoakChecks, findViolations_wrongOrganisationOrInvalidKey_reportsViolation)
{
    ChecksFixture f;
    f.record.engineRecords.front().organisation = "other";
    cr_expect(f.firstBrokenPromise() == "work runs for the key's organisation");
    f.record.engineRecords.front().organisation = "org";
    f.record.revokedKeys["key"] = f.attempt().sentAt - maxRevocationDelay.count() - 1;
    cr_expect(f.firstBrokenPromise() == "a key that was taken away runs nothing");
    f.record.revokedKeys["key"] = f.attempt().sentAt - 1000;
    cr_expect(f.firstBrokenPromise().empty(), "the bound is not over");
    f.attempt().apiKey = "unknown";
    cr_expect(f.firstBrokenPromise() == "only known keys run");
}

Test(SoakChecks, findViolations_lateConfigurationAtUndisturbedInstance_reportsViolation)
{
    ChecksFixture f;
    f.record.engineRecords.clear();
    f.attempt() = { .id = "a", .path = "/new/", .apiKey = "key", .instance = "i", .incarnation = 1, .sentAt = 100000, .endedAt = 100050, .requestSent = true, .status = 404, .responseComplete = true };
    f.record.addedPaths["/new/"] = 97000;
    cr_expect(f.firstBrokenPromise() == "a configuration is in force everywhere in seconds");
    f.record.disturbances.push_back({ .subject = "i", .startedAt = 96000, .endedAt = 98000 });
    cr_expect(f.firstBrokenPromise().empty(), "it was out of touch");
    auto servedAttempt = f.attempt();
    servedAttempt.status = 200;
    servedAttempt.sealed = true;
    servedAttempt.id = "b";
    servedAttempt.sentAt = 99000;
    servedAttempt.endedAt = 99050;
    f.record.attempts.push_back(servedAttempt);
    f.record.engineRecords.push_back({ .attemptId = "b", .engineId = "e", .organisation = "org", .recordedAt = 99010 });
    cr_expect(f.firstBrokenPromise() == "a configuration never reverts");
}

Test(SoakChecks, findViolations_drainingEngineRunsNewRequestTooLate_reportsViolation)
{
    ChecksFixture f;
    f.record.drainingEngines["e"] = 97000;
    cr_expect(f.firstBrokenPromise() == "a leaving engine gets nothing new");
    f.record.drainingEngines["e"] = 99000;
    cr_expect(f.firstBrokenPromise().empty());
}

Test(SoakChecks, findViolations_requestInterruptedByPlannedStop_reportsViolation)
{
    ChecksFixture f;
    f.attempt().status = 0;
    f.attempt().responseComplete = false;
    f.record.disturbances.push_back({ .subject = "i", .startedAt = 99000, .endedAt = 105000, .planned = true });
    cr_expect(f.firstBrokenPromise() == "a planned stop cuts nothing");
    f.record.disturbances.push_back({ .subject = enginesSubject, .startedAt = 99000, .endedAt = 99900 });
    cr_expect(f.firstBrokenPromise().empty(), "an engine may have broken off");
}

Test(SoakChecks, servedShareAfterFaults_requestsInAndBeforeMeasuredPeriod_countsOnlyThoseInPeriod)
{
    ChecksFixture f;
    f.record.faultsEndedAt = 90000;
    cr_expect(servedShareAfterFaults(f.record) == 1);
    f.attempt().status = 503;
    cr_expect(servedShareAfterFaults(f.record) == 0);
    f.record.faultsEndedAt = 99000;
    cr_expect(servedShareAfterFaults(f.record) == 0, "nothing is owed yet, and nothing was shown");
}

Test(SoakChecks, findViolations_usageDiffersFromDeliveredResponses_reportsViolation)
{
    ChecksFixture f;
    f.record.recordedRequests["org"] = 1;
    f.record.usageComplete = true;
    cr_expect(f.firstBrokenPromise().empty());
    f.record.recordedRequests["org"] = 2;
    cr_expect(f.firstBrokenPromise() == "use is billed once");
    f.record.recordedRequests["org"] = 0;
    cr_expect(f.firstBrokenPromise() == "use is billed once");
    f.record.usageComplete = false;
    cr_expect(f.firstBrokenPromise().empty(), "a kill loses what was not on record");
}
