#include "soak/budgetcheck.h"
#include "soak/checks.h"
#include "soak/constants.h"
#include "soak/crashtrigger.h"
#include "soak/stopcheck.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>

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
    bool reports(const std::string& guarantee) const
    {
        auto violations = findViolations(record);
        return std::any_of(violations.begin(), violations.end(), [&](const Violation& violation) { return violation.guarantee == guarantee; });
    }
};

/// The order was received and executed 6950 ms after SIGTERM, and its connection closed without a response.
struct StopFixture : ChecksFixture {
    static constexpr const char* guarantee = "an accepted request is answered before its instance ends";

    StopFixture()
    {
        record.plannedStops.push_back({ .instance = "i", .incarnation = 1, .signalledAt = 99000 });
        attempt().sentAt = attempt().lastByteSentAt = 106900;
        attempt().endedAt = 106950;
        attempt().deadlineMs = 1500;
        attempt().status = 0;
        attempt().responseComplete = false;
        record.engineRecords.clear();
        addEngineRecord(EngineRecord::Event::Arrival, 106910);
        addEngineRecord(EngineRecord::Event::Run, 106910);
    }

    void addEngineRecord(EngineRecord::Event event, SoakTime recordedAt)
    {
        record.engineRecords.push_back({ .event = event, .attemptId = "a", .engineId = "e", .organisation = "org", .recordedAt = recordedAt });
    }
};

struct ArrivalTimes {
    SoakTime repeatDelay = 10;
    SoakTime firstDeadline = 1000;
    SoakTime repeatDeadline = 990;
};

/// Lookups that engines received without executing them.
struct BudgetFixture : ChecksFixture {
    static constexpr const char* retryGuarantee = "repeated requests keep within the retry budget";

    BudgetFixture()
    {
        record.attempts.clear();
        record.engineRecords.clear();
    }

    void addLookup(int number, SoakTime sentAt, int arrivals, ArrivalTimes times = {})
    {
        auto id = "b" + std::to_string(number);
        record.attempts.push_back({ .id = id, .type = RequestType::Lookup, .path = lookupPath, .apiKey = "key", .instance = "i", .incarnation = 1, .sentAt = sentAt, .endedAt = sentAt + 700, .deadlineMs = 1000, .requestSent = true, .status = 503, .responseComplete = true });
        for (int i = 0; i < arrivals; ++i)
            record.engineRecords.push_back({ .event = EngineRecord::Event::Arrival, .attemptId = id, .engineId = "e" + std::to_string(i), .organisation = "org", .recordedAt = sentAt + i * times.repeatDelay, .deadlineMs = i == 0 ? times.firstDeadline : times.repeatDeadline });
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
        f.record.attempts.push_back({ .id = id, .type = RequestType::Lookup, .path = "/lookup/crash1-from0-after0/", .apiKey = "key", .instance = "i", .incarnation = 1, .sentAt = sentAt, .endedAt = sentAt + 5, .requestSent = true, .status = 502, .responseComplete = true });
        f.record.engineRecords.push_back({ .attemptId = id, .engineId = "e" + id, .organisation = "org", .recordedAt = sentAt + 1 });
    }
    cr_expect(f.firstViolatedGuarantee() == "a request that crashed three engines is not executed again");
    f.record.disturbances.push_back({ .subject = "i", .startedAt = 102000, .endedAt = 102000 });
    cr_expect(f.firstViolatedGuarantee().empty(), "an instance that was disturbed is excused");
    f.record.disturbances.clear();
    f.record.engineRecords.pop_back();
    cr_expect(f.firstViolatedGuarantee().empty(), "three executions after the third crash are allowed");
}

Test(SoakChecks, findViolations_requestCrashesOneEngineInSeveralRuns_isNotKnownBeforeTheThirdEngine)
{
    ChecksFixture f;
    f.record.engineRecords.clear();
    f.record.attempts.clear();
    for (int run = 0; run < 9; ++run) {
        auto id = "x" + std::to_string(run);
        SoakTime sentAt = run < 4 ? 100000 + run : 104000 + run;
        f.record.attempts.push_back({ .id = id, .type = RequestType::Lookup, .path = "/lookup/crash1-from0-after0/", .apiKey = "key", .instance = "i", .incarnation = 1, .sentAt = sentAt, .endedAt = sentAt + 5, .requestSent = true, .status = 502, .responseComplete = true });
        f.record.engineRecords.push_back({ .attemptId = id, .engineId = run < 4 ? "e0" : "e" + id, .organisation = "org", .recordedAt = sentAt + 1 });
    }
    cr_expect(f.firstViolatedGuarantee().empty());
    f.record.engineRecords[1].engineId = "e1";
    f.record.engineRecords[2].engineId = "e2";
    cr_expect(f.firstViolatedGuarantee() == "a request that crashed three engines is not executed again");
}

Test(SoakChecks, findViolations_crashingRequestAnsweredBefore_answersAreNoCrashes)
{
    ChecksFixture f;
    f.record.engineRecords.clear();
    f.record.attempts.clear();
    for (int run = 0; run < 9; ++run) {
        auto id = "x" + std::to_string(run);
        SoakTime sentAt = run < 6 ? 100000 + run : 104000 + run;
        f.record.attempts.push_back({ .id = id, .type = RequestType::Lookup, .path = "/lookup/crash1-from104000-after90/", .apiKey = "key", .instance = "i", .incarnation = 1, .sentAt = sentAt, .endedAt = sentAt + 5, .requestSent = true, .status = 502, .responseComplete = true });
        f.record.engineRecords.push_back({ .attemptId = id, .engineId = "e" + id, .organisation = "org", .recordedAt = sentAt + 1 });
    }
    cr_expect(f.firstViolatedGuarantee().empty());
}

Test(SoakChecks, findViolations_soundRequestRefusedAsCrashing_reportsViolation)
{
    ChecksFixture f;
    f.record.attempts.front().refusedAsCrashing = true;
    cr_expect(f.firstViolatedGuarantee() == "a request that crashes no engine is not refused for crashes");
    f.record.attempts.front().path = "/lookup/crash1-from0-after0/";
    cr_expect(f.firstViolatedGuarantee() != "a request that crashes no engine is not refused for crashes");
}

Test(SoakChecks, crashTriggerInPath_isReadAsItWasWritten)
{
    CrashTrigger trigger { .number = 6, .from = 123456789, .delay = guavaspan::Milliseconds(90), .silent = true };
    cr_expect(parseCrashTrigger("/lookup/" + encode(trigger) + "/x") == trigger);
    trigger.silent = false;
    cr_expect(parseCrashTrigger("/lookup/" + encode(trigger) + "/x") == trigger);
    cr_expect(!parseCrashTrigger("/lookup/x"));
}

Test(SoakChecks, findViolations_crashingPromptPartExecutedAfterFifthCrash_reportsViolation)
{
    ChecksFixture f;
    f.record.engineRecords.clear();
    f.record.attempts.clear();
    for (int run = 0; run < 9; ++run) {
        auto id = "p" + std::to_string(run);
        SoakTime sentAt = run < 5 ? 100000 + run : 104000 + run;
        f.record.attempts.push_back({ .id = id, .type = RequestType::Stream, .path = "/stream/u" + id, .apiKey = "key", .promptPart = "bad1", .instance = "i", .incarnation = 1, .sentAt = sentAt, .endedAt = sentAt + 5, .requestSent = true, .status = 502, .responseComplete = true });
        f.record.engineRecords.push_back({ .attemptId = id, .engineId = "e" + id, .organisation = "org", .recordedAt = sentAt + 1 });
    }
    cr_expect(f.firstViolatedGuarantee() == "requests with a part in their prompts under which five engines have ended are not executed");
    f.record.engineRecords.pop_back();
    cr_expect(f.firstViolatedGuarantee().empty(), "three executions after the fifth crash are allowed");
}

Test(SoakChecks, findViolations_moreBrittleEnginesEndThanAllowed_reportsViolation)
{
    ChecksFixture f;
    f.record.brittleEngines = 3;
    for (int number = 0; number < 2; ++number)
        f.record.engineRecords.push_back({ .event = EngineRecord::Event::Overwhelmed, .attemptId = "none", .engineId = "e" });
    cr_expect(f.firstViolatedGuarantee().empty());
    f.record.engineRecords.push_back({ .event = EngineRecord::Event::Overwhelmed, .attemptId = "none", .engineId = "e" });
    cr_expect(f.firstViolatedGuarantee() == "brittle engines do not end by rejections");
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

/// Guards against LOST: the kill at the stop limit and the restart after a stop must not excuse what the stop cut.
Test(SoakChecks, findViolations_acceptedRequestCutByStop_reportsViolation)
{
    StopFixture f;
    cr_expect(f.reports(StopFixture::guarantee));
    f.record.disturbances.push_back({ .subject = "i", .startedAt = 107000, .endedAt = 107000, .partOfStop = true });
    cr_expect(f.reports(StopFixture::guarantee), "the kill belongs to the stop");
    f.record.disturbances.push_back({ .subject = storeSubject, .startedAt = 106000, .endedAt = 106100 });
    cr_expect(!f.reports(StopFixture::guarantee), "an unplanned disturbance excuses the stop");
    f.record.disturbances.clear();
    f.record.plannedStops.front().incarnation = 2;
    cr_expect(!f.reports(StopFixture::guarantee), "another process was stopped");
    f.record.plannedStops.front().incarnation = 1;
    f.record.plannedStops.front().signalledAt = f.attempt().endedAt + 1;
    cr_expect(!f.reports(StopFixture::guarantee), "the stop began after the response had been cut");
    f.record.plannedStops.front().signalledAt = f.attempt().endedAt;
    cr_expect(f.reports(StopFixture::guarantee));
    f.attempt().responseComplete = true;
    cr_expect(!f.reports(StopFixture::guarantee));
}

/// Guards against LOST: a close within closeAllowance is excused only if no engine received the request.
Test(SoakChecks, findViolations_stopClosesConnectionAroundRequest_reportsViolationIfItWasAccepted)
{
    StopFixture f;
    cr_expect(f.reports(StopFixture::guarantee), "an engine received the request");
    f.record.engineRecords.clear();
    f.attempt().endedAt = f.attempt().lastByteSentAt + closeAllowance.count() + 1;
    cr_expect(f.reports(StopFixture::guarantee), "the connection ended too late");
    f.attempt().endedAt = f.attempt().lastByteSentAt + closeAllowance.count();
    cr_expect(!f.reports(StopFixture::guarantee));
    auto cuts = findCutResponses(f.record);
    cr_expect(cuts.size() == 1 && cuts.front().reason == CutReason::CloseRace);
}

Test(SoakChecks, findViolations_requestCutByEngineOrDeadlineDuringStop_reportsNone)
{
    StopFixture f;
    f.addEngineRecord(EngineRecord::Event::BreakOff, 106940);
    cr_expect(!f.reports(StopFixture::guarantee), "the engine broke off");
    f.record.engineRecords.back().engineId = "e2";
    cr_expect(f.reports(StopFixture::guarantee), "another engine broke off");
    f.attempt().deadlineMs = 50;
    cr_expect(!f.reports(StopFixture::guarantee), "the deadline was reached");
}

Test(SoakChecks, findViolations_engineBusyAtStopLimit_reportsViolationOnlyForLateRequests)
{
    constexpr const char* earlierGuarantee = "a planned stop interrupts no request";
    StopFixture f;
    f.record.disturbances.push_back({ .subject = "i", .startedAt = 99000, .endedAt = 107000, .planned = true });
    f.attempt().sentAt = f.attempt().lastByteSentAt = 102000;
    f.attempt().endedAt = 107000;
    f.attempt().deadlineMs = 12000;
    for (auto& record : f.record.engineRecords)
        record.recordedAt = 102001;
    cr_expect(!f.reports(StopFixture::guarantee) && !f.reports(earlierGuarantee), "the engine was busy until the stop limit");
    f.addEngineRecord(EngineRecord::Event::End, 105600);
    cr_expect(f.reports(StopFixture::guarantee) && f.reports(earlierGuarantee), "the engine ended its work before");
    f.record.engineRecords.pop_back();
    f.attempt().lastByteSentAt = 102001;
    cr_expect(f.reports(StopFixture::guarantee) && f.reports(earlierGuarantee), "the request was sent too long after SIGTERM");
}

/// Guards against BUDGET: repeats of all instances together, rejected ones too, count against one budget.
Test(SoakChecks, findViolations_moreRepeatsThanBudget_reportsViolation)
{
    BudgetFixture f;
    for (int number = 0; number < 100; ++number)
        f.addLookup(number, 100000, number < 70 ? 2 : 1);
    cr_expect(!f.reports(BudgetFixture::retryGuarantee), "a fifth of the requests and 50 more are allowed");
    f.addLookup(100, 100000, 3);
    cr_expect(f.reports(BudgetFixture::retryGuarantee));
    auto use = worstRetryUse(f.record, false);
    cr_expect(use.repeats == 72 && use.allowed > 70 && use.allowed < 71);
}

Test(SoakChecks, findViolations_repeatsInDifferentWindows_reportsNone)
{
    BudgetFixture f;
    for (int number = 0; number < 100; ++number)
        f.addLookup(number, 100000 + (number < 50 ? 0 : retryWindow.count()), 2);
    cr_expect(!f.reports(BudgetFixture::retryGuarantee));
}

Test(SoakChecks, findViolations_lookupsExecutedByTooManyEngines_reportsViolation)
{
    BudgetFixture f;
    for (int number = 0; number < 4; ++number) {
        f.addLookup(number, 100000 + number, 3);
        for (int run = 0; run < 3; ++run)
            f.record.engineRecords.push_back({ .attemptId = f.record.attempts.back().id, .engineId = "e" + std::to_string(run), .organisation = "org", .recordedAt = 100010 + run });
    }
    cr_expect(f.reports("a request is executed by no more engines than its route allows"));
    f.record.attempts.pop_back();
    cr_expect(!f.reports("a request is executed by no more engines than its route allows"), "three requests are allowed");
}

Test(SoakChecks, findViolations_deadlineBeyondThatOfCaller_reportsViolation)
{
    constexpr const char* guarantee = "an engine gets no more time than is left";
    BudgetFixture f;
    for (int number = 0; number < 21; ++number)
        f.addLookup(number, 100000 + number, 2, { .repeatDelay = 600, .repeatDeadline = 901 });
    cr_expect(f.reports(guarantee), "the repeats end too late");
    f.record.attempts.pop_back();
    cr_expect(!f.reports(guarantee), "20 are allowed");
    for (int number = 30; number < 51; ++number)
        f.addLookup(number, 100000 + number, 1, { .firstDeadline = 1501 });
    cr_expect(f.reports(guarantee), "the deadlines exceed that of the caller");
    for (auto& record : f.record.engineRecords)
        record.deadlineMs = 400;
    cr_expect(!f.reports(guarantee));
    for (auto& record : f.record.engineRecords)
        record.deadlineMs = EngineRecord::noDeadline;
    cr_expect(f.reports(guarantee), "requests arrived without a deadline");
}

Test(SoakChecks, readEngineRecords_encodedRecords_returnsThem)
{
    auto path = std::filesystem::temp_directory_path() / ("soakchecks-" + std::to_string(soakNow()));
    EngineRecord arrival { .event = EngineRecord::Event::Arrival, .attemptId = "a", .engineId = "e", .organisation = "org", .recordedAt = 5, .deadlineMs = 900 };
    EngineRecord breakOff { .event = EngineRecord::Event::BreakOff, .attemptId = "a", .engineId = "e", .recordedAt = 6 };
    std::ofstream(path) << encodeEngineRecord(arrival) << encodeEngineRecord(breakOff) << "run a e";
    auto records = readEngineRecords(path);
    std::filesystem::remove(path);
    cr_assert(records.size() == 2);
    cr_expect(records[0] == arrival && records[1] == breakOff);
}

/// Guards against sound requests that ended engines, and were refused for it: their last part began like a crashing one by chance.
Test(SoakChecks, promptPartsOfManySoundRequests_holdNoCrashingPart)
{
    guavaspan::Random random(1);
    for (int request = 0; request < 100000; ++request) {
        auto promptParts = listPromptParts("50d1", random);
        cr_assert(!hasCrashingPart(promptParts), "%s", promptParts.c_str());
    }
    cr_expect(hasCrashingPart(listPromptParts(crashingPromptPart + std::string("1"), random)));
}

/// Guards against a check that misses requests to an evacuated domain, or counts those sent in time or after its end.
Test(SoakChecks, findViolations_requestToEvacuatedDomain_isReportedOnlyWhileItHasToBeInForce)
{
    constexpr const char* guarantee = "an engine of an evacuated domain receives no new requests";
    ChecksFixture f;
    f.record.domainByEngine["e"] = "north";
    f.record.engineRecords.push_back({ .event = EngineRecord::Event::Arrival, .attemptId = "a", .engineId = "e", .organisation = "org", .recordedAt = 100010 });
    f.record.evacuations = { { .failureDomain = "south", .acknowledgedAt = 90000, .endedAt = 110000 }, { .failureDomain = "north", .acknowledgedAt = 96000, .endedAt = 110000 }, { .failureDomain = "north", .acknowledgedAt = 90000, .endedAt = 100000 } };
    cr_expect(!f.reports(guarantee));
    f.record.evacuations.push_back({ .failureDomain = "north", .acknowledgedAt = 94000, .endedAt = 110000 });
    cr_expect(f.reports(guarantee));
    f.record.disturbances.push_back({ .subject = storeSubject, .startedAt = 95000, .endedAt = 95500 });
    cr_expect(!f.reports(guarantee));
}
