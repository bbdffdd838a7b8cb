#include "soak/checks.h"
#include "soak/constants.h"

#include <criterion/criterion.h>

using namespace guavaspan::soak;

namespace {

/// Valid record of one order that an engine executed and answered; each test makes a part of it invalid.
struct ChecksFixture {
    SoakRecord record;

    ChecksFixture()
    {
        record.organisationByKey["key"] = "org";
        record.attempts.push_back({ .id = "a", .type = RequestType::Order, .path = orderPath, .apiKey = "key", .instance = "i", .incarnation = 1, .sentAt = 100000, .endedAt = 100050, .requestSent = true, .status = 200, .sealed = true, .responseComplete = true });
        record.engineRecords.push_back({ .attemptId = "a", .engineId = "e", .organisation = "org", .recordedAt = 100010 });
    }

    Attempt& attempt() { return record.attempts.front(); }

    std::string firstViolatedGuarantee() const
    {
        auto violations = findViolations(record);
        return violations.empty() ? "" : violations.front().guarantee;
    }
};

}

Test(SoakChecks, findViolations_validRecord_returnsNone)
{
    ChecksFixture f;
    cr_expect(f.firstViolatedGuarantee().empty());
}

Test(SoakChecks, findViolations_orderExecutedTwice_reportsViolation)
{
    ChecksFixture f;
    f.record.engineRecords.push_back({ .attemptId = "a", .engineId = "e2", .organisation = "org", .recordedAt = 100020 });
    cr_expect(f.firstViolatedGuarantee() == "a non-idempotent request is executed at most once");
    f.attempt().type = RequestType::Lookup;
    cr_expect(f.firstViolatedGuarantee().empty(), "lookups may be executed again");
    f.attempt().type = RequestType::Stream;
    f.record.engineRecords.back().event = EngineRecord::Event::Resume;
    cr_expect(f.firstViolatedGuarantee().empty(), "a generation continued from a copy is not a second execution");
}

Test(SoakChecks, findViolations_executedRequestRefused_reportsViolation)
{
    ChecksFixture f;
    f.attempt().status = 503;
    f.attempt().responseComplete = true;
    cr_expect(f.firstViolatedGuarantee() == "a refused request was not executed");
}

Test(SoakChecks, findViolations_responseNotFromEngine_reportsViolation)
{
    ChecksFixture f;
    f.attempt().sealed = false;
    cr_expect(f.firstViolatedGuarantee() == "a successful response comes from an engine");
    f.attempt().sealed = true;
    f.attempt().contentError = "received event 4, expected event 3";
    cr_expect(f.firstViolatedGuarantee() == "stream events arrive once, in order, from one generation");
    f.attempt().contentError.clear();
    f.record.engineRecords.clear();
    cr_expect(f.firstViolatedGuarantee() == "a successful response comes from an engine");
}

Test(SoakChecks, findViolations_wrongOrganisationOrInvalidKey_reportsViolation)
{
    ChecksFixture f;
    f.record.engineRecords.front().organisation = "other";
    cr_expect(f.firstViolatedGuarantee() == "a request is executed for the organisation of its key");
    f.record.engineRecords.front().organisation = "org";
    f.record.revokedKeys["key"] = f.attempt().sentAt - maxRevocationDelay.count() - 1;
    cr_expect(f.firstViolatedGuarantee() == "a request with a revoked key is not executed");
    f.record.revokedKeys["key"] = f.attempt().sentAt - 1000;
    cr_expect(f.firstViolatedGuarantee().empty(), "the time limit has not passed");
    f.attempt().apiKey = "unknown";
    cr_expect(f.firstViolatedGuarantee() == "only requests with a known key are executed");
}

Test(SoakChecks, findViolations_lateConfigurationAtUndisturbedInstance_reportsViolation)
{
    ChecksFixture f;
    f.record.engineRecords.clear();
    f.attempt() = { .id = "a", .path = "/new/", .apiKey = "key", .instance = "i", .incarnation = 1, .sentAt = 100000, .endedAt = 100050, .requestSent = true, .status = 404, .responseComplete = true };
    f.record.addedPaths["/new/"] = 97000;
    cr_expect(f.firstViolatedGuarantee() == "a configuration change takes effect everywhere in time");
    f.record.disturbances.push_back({ .subject = "i", .startedAt = 96000, .endedAt = 98000 });
    cr_expect(f.firstViolatedGuarantee().empty(), "time limits do not apply to an instance that was disturbed");
    auto servedAttempt = f.attempt();
    servedAttempt.status = 200;
    servedAttempt.sealed = true;
    servedAttempt.id = "b";
    servedAttempt.sentAt = 99000;
    servedAttempt.endedAt = 99050;
    f.record.attempts.push_back(servedAttempt);
    f.record.engineRecords.push_back({ .attemptId = "b", .engineId = "e", .organisation = "org", .recordedAt = 99010 });
    cr_expect(f.firstViolatedGuarantee() == "an instance never reverts to an older configuration");
}

Test(SoakChecks, findViolations_drainingEngineRunsNewRequestTooLate_reportsViolation)
{
    ChecksFixture f;
    f.record.drainingEngines["e"] = 97000;
    cr_expect(f.firstViolatedGuarantee() == "a draining engine receives no new requests");
    f.record.drainingEngines["e"] = 99000;
    cr_expect(f.firstViolatedGuarantee().empty());
}

Test(SoakChecks, findViolations_requestInterruptedByPlannedStop_reportsViolation)
{
    ChecksFixture f;
    f.attempt().status = 0;
    f.attempt().responseComplete = false;
    f.record.disturbances.push_back({ .subject = "i", .startedAt = 99000, .endedAt = 105000, .planned = true });
    cr_expect(f.firstViolatedGuarantee() == "a planned stop interrupts no request");
    f.record.disturbances.push_back({ .subject = enginesSubject, .startedAt = 99000, .endedAt = 99900 });
    cr_expect(f.firstViolatedGuarantee().empty(), "the engine fault may have interrupted the request");
}

Test(SoakChecks, servedShareAfterFaults_requestsInAndBeforeMeasuredPeriod_countsOnlyThoseInPeriod)
{
    ChecksFixture f;
    f.record.faultsEndedAt = 90000;
    cr_expect(servedShareAfterFaults(f.record) == 1);
    f.attempt().status = 503;
    cr_expect(servedShareAfterFaults(f.record) == 0);
    f.record.faultsEndedAt = 99000;
    cr_expect(servedShareAfterFaults(f.record) == 0, "requests before the recovery timeout do not count, so the share is 0");
}

Test(SoakChecks, findViolations_usageDiffersFromDeliveredResponses_reportsViolation)
{
    ChecksFixture f;
    f.record.recordedRequests["org"] = 1;
    f.record.usageComplete = true;
    cr_expect(f.firstViolatedGuarantee().empty());
    f.record.recordedRequests["org"] = 2;
    cr_expect(f.firstViolatedGuarantee() == "usage is recorded exactly once");
    f.record.recordedRequests["org"] = 0;
    cr_expect(f.firstViolatedGuarantee() == "usage is recorded exactly once");
    f.record.usageComplete = false;
    cr_expect(f.firstViolatedGuarantee().empty(), "a killed instance may lose usage that was not recorded yet");
}

Test(SoakChecks, findViolations_crashingRequestExecutedAfterThirdCrash_reportsViolation)
{
    ChecksFixture f;
    f.record.engineRecords.clear();
    f.record.attempts.clear();
    for (int run = 0; run < 7; ++run) {
        auto id = "x" + std::to_string(run);
        SoakTime sentAt = run < 3 ? 100000 + run : 104000 + run;
        f.record.attempts.push_back({ .id = id, .type = RequestType::Lookup, .path = "/lookup/crash1/", .apiKey = "key", .instance = "i", .incarnation = 1, .sentAt = sentAt, .endedAt = sentAt + 5, .requestSent = true, .status = 502, .responseComplete = true });
        f.record.engineRecords.push_back({ .attemptId = id, .engineId = "e" + id, .organisation = "org", .recordedAt = sentAt + 1 });
    }
    cr_expect(f.firstViolatedGuarantee() == "a request that crashed three engines is not executed again");
    f.record.disturbances.push_back({ .subject = "i", .startedAt = 102000, .endedAt = 102000 });
    cr_expect(f.firstViolatedGuarantee().empty(), "an instance that was disturbed is excused");
    f.record.disturbances.clear();
    f.record.engineRecords.pop_back();
    cr_expect(f.firstViolatedGuarantee().empty(), "three executions after the third crash are allowed");
}

Test(SoakChecks, findViolations_engineGetsMoreThanItsStatedLimit_reportsViolation)
{
    ChecksFixture f;
    f.record.engineRecords.clear();
    f.record.attempts.clear();
    f.record.statedLimits.push_back({ .engineId = "e", .requestsPerSecond = 1, .startedAt = 100000, .endedAt = 120000 });
    auto addRequest = [&](int number, SoakTime sentAt) {
        auto id = "l" + std::to_string(number);
        f.record.attempts.push_back({ .id = id, .type = RequestType::Lookup, .path = lookupPath, .apiKey = "key", .instance = "i", .incarnation = 1, .sentAt = sentAt, .endedAt = sentAt + 5, .requestSent = true, .status = 200, .sealed = true, .responseComplete = true });
        f.record.engineRecords.push_back({ .attemptId = id, .engineId = "e", .organisation = "org", .recordedAt = sentAt + 1 });
    };
    addRequest(0, 100100);
    for (int number = 1; number <= 11; ++number)
        addRequest(number, 104000 + 100 * number);
    cr_expect(f.firstViolatedGuarantee().empty(), "1.5 times the limit and five more are allowed");
    addRequest(12, 106000);
    cr_expect(f.firstViolatedGuarantee() == "an engine gets no more requests than the limit that it states");
    f.record.attempts.front().status = 502;
    f.record.statedLimits.front().startedAt = 104200;
    cr_expect(f.firstViolatedGuarantee().empty(), "the limit is not in force yet");
}
