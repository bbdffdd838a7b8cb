#include "soak/checks.h"

#include "soak/budgetcheck.h"
#include "soak/constants.h"
#include "soak/crashtrigger.h"
#include "soak/stopcheck.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace guavaspan::soak {

namespace {

    /// Time after the last fault by which callers must be served again.
    constexpr SoakTime recoveryTimeout = 6000;

    /// A request sent while the instance closes the idle connection fails within this time.
    constexpr SoakTime closeRaceTime = 200;

    /// With these statuses the entry service states that the request was not executed.
    bool isRefusalStatus(unsigned status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    bool crashesEngines(const Attempt& attempt)
    {
        return parseCrashTrigger(attempt.path) || attempt.promptPart.starts_with(crashingPromptPart);
    }

    class RecordChecker {
    public:
        explicit RecordChecker(const SoakRecord& record)
            : m_record(record)
        {
            for (const auto& engineRecord : record.engineRecords) {
                if (engineRecord.isExecution())
                    m_recordsByAttempt[engineRecord.attemptId].push_back(&engineRecord);
            }
        }

        std::vector<Violation> run()
        {
            for (const auto& cut : findCutResponses(m_record)) {
                if (cut.reason == CutReason::EngineBusyUntilStopLimit)
                    m_cutWhileEngineBusy.insert(cut.attempt.id);
            }
            for (const auto& attempt : m_record.attempts) {
                checkResponse(attempt);
                checkExecutions(attempt);
                checkApiKey(attempt);
                checkConfigurationDelay(attempt);
                checkPlannedStop(attempt);
                checkCrashRefusal(attempt);
            }
            checkConfigurationReverts();
            checkUsage();
            checkDrainingEngines();
            checkCrashingRequests();
            checkCrashingPromptParts();
            checkBrittleEngines();
            checkStatedLimits();
            checkEvacuations();
            addViolations(findStopViolations(m_record));
            addViolations(findBudgetViolations(m_record));
            return std::move(m_violations);
        }

    private:
        void addViolations(std::vector<Violation> violations)
        {
            std::move(violations.begin(), violations.end(), std::back_inserter(m_violations));
        }

        void reportViolation(const char* guarantee, const Attempt& attempt, const std::string& detail)
        {
            m_violations.push_back(makeViolation(guarantee, attempt, detail));
        }

        std::vector<const EngineRecord*> engineRecordsOf(const std::string& attempt) const
        {
            auto found = m_recordsByAttempt.find(attempt);
            return found == m_recordsByAttempt.end() ? std::vector<const EngineRecord*> {} : found->second;
        }

        bool isUndisturbed(const std::string& subject, SoakTime from, SoakTime to, Excuse excuse = Excuse::AnyDisturbance) const
        {
            return soak::isUndisturbed(m_record, subject, from, to, excuse);
        }

        bool instanceAndStoreUndisturbed(const Attempt& attempt) const
        {
            return isUndisturbed(attempt.instance, attempt.sentAt, attempt.endedAt) && isUndisturbed(storeSubject, attempt.sentAt, attempt.endedAt);
        }

        void checkResponse(const Attempt& attempt)
        {
            if (!attempt.contentError.empty())
                reportViolation("stream events arrive once, in order, from one generation", attempt, attempt.contentError);
            bool succeeded = attempt.status >= 200 && attempt.status < 300;
            if (succeeded && !attempt.sealed)
                reportViolation("a successful response comes from an engine", attempt, "success without an engine's seal header");
            if (succeeded && attempt.responseComplete && engineRecordsOf(attempt.id).empty())
                reportViolation("a successful response comes from an engine", attempt, "no engine executed the request");
        }

        void checkExecutions(const Attempt& attempt)
        {
            auto records = engineRecordsOf(attempt.id);
            auto runs = std::count_if(records.begin(), records.end(), [](const EngineRecord* engineRecord) { return engineRecord->event == EngineRecord::Event::Run; });
            if (attempt.type != RequestType::Lookup && runs > 1)
                reportViolation("a non-idempotent request is executed at most once", attempt, fmt::format("{} executions", runs));
            if (attempt.type != RequestType::Lookup && isRefusalStatus(attempt.status) && !records.empty())
                reportViolation("a refused request was not executed", attempt, fmt::format("executed by engine {}", records.front()->engineId));
        }

        void checkApiKey(const Attempt& attempt)
        {
            auto records = engineRecordsOf(attempt.id);
            auto organisation = m_record.organisationByKey.find(attempt.apiKey);
            auto revoked = m_record.revokedKeys.find(attempt.apiKey);
            bool afterLimit = revoked != m_record.revokedKeys.end() && attempt.sentAt > revoked->second + maxRevocationDelay.count();
            for (const auto* engineRecord : records) {
                if (organisation == m_record.organisationByKey.end())
                    reportViolation("only requests with a known key are executed", attempt, "executed by engine " + engineRecord->engineId);
                else if (organisation->second != engineRecord->organisation)
                    reportViolation("a request is executed for the organisation of its key", attempt, "executed for organisation " + engineRecord->organisation);
                else if (afterLimit)
                    reportViolation("a request with a revoked key is not executed", attempt, fmt::format("revoked at {}", revoked->second));
            }
        }

        void checkConfigurationDelay(const Attempt& attempt)
        {
            auto limit = maxConfigurationDelay.count() + schedulingSlack.count();
            auto added = m_record.addedPaths.find(attempt.path);
            auto removed = m_record.removedPaths.find(attempt.path);
            bool mustExist = added != m_record.addedPaths.end() && attempt.sentAt > added->second + limit && removed == m_record.removedPaths.end();
            if (mustExist && attempt.status == 404 && instanceAndStoreUndisturbed(attempt))
                reportViolation("a configuration change takes effect everywhere in time", attempt, fmt::format("path added at {}", added->second));
            bool mustNotExist = removed != m_record.removedPaths.end() && attempt.sentAt > removed->second + limit;
            if (mustNotExist && !engineRecordsOf(attempt.id).empty() && instanceAndStoreUndisturbed(attempt))
                reportViolation("a configuration change takes effect everywhere in time", attempt, fmt::format("path removed at {}", removed->second));
        }

        /// Once an incarnation of an instance has served an added path, it must not answer 404 for it.
        void checkConfigurationReverts()
        {
            std::map<std::tuple<std::string, int, std::string>, SoakTime> firstServedAt;
            for (const auto& attempt : m_record.attempts) {
                std::tuple key(attempt.instance, attempt.incarnation, attempt.path);
                if (attempt.status == 200 && m_record.addedPaths.contains(attempt.path)) {
                    auto [entry, inserted] = firstServedAt.emplace(key, attempt.endedAt);
                    entry->second = std::min(entry->second, attempt.endedAt);
                }
            }
            for (const auto& attempt : m_record.attempts) {
                auto entry = firstServedAt.find({ attempt.instance, attempt.incarnation, attempt.path });
                bool reverted = entry != firstServedAt.end() && attempt.status == 404 && attempt.sentAt > entry->second;
                if (reverted && !m_record.removedPaths.contains(attempt.path))
                    reportViolation("an instance never reverts to an older configuration", attempt, fmt::format("path served at {}", entry->second));
            }
        }

        /// A killed instance loses usage it has not recorded yet, so fewer requests than delivered are allowed
        /// after kills. More requests than callers may have been served are never allowed.
        void checkUsage()
        {
            std::map<std::string, std::int64_t> delivered;
            std::map<std::string, std::int64_t> unanswered;
            for (const auto& attempt : m_record.attempts) {
                auto organisation = m_record.organisationByKey.find(attempt.apiKey);
                if (organisation == m_record.organisationByKey.end())
                    continue;
                delivered[organisation->second] += attempt.status == 200 ? 1 : 0;
                unanswered[organisation->second] += attempt.status == 0 ? 1 : 0;
            }
            for (const auto& [organisation, recorded] : m_record.recordedRequests) {
                auto maxExpected = delivered[organisation] + unanswered[organisation];
                auto minExpected = m_record.usageComplete ? delivered[organisation] : 0;
                if (recorded < minExpected || recorded > maxExpected)
                    m_violations.push_back({ .guarantee = "usage is recorded exactly once", .evidence = fmt::format("{}: {} requests recorded, {} delivered, {} unanswered", organisation, recorded, delivered[organisation], unanswered[organisation]) });
            }
        }

        void checkDrainingEngines()
        {
            std::map<std::string, const Attempt*> attempts;
            for (const auto& attempt : m_record.attempts)
                attempts.emplace(attempt.id, &attempt);
            for (const auto& engineRecord : m_record.engineRecords) {
                auto draining = m_record.drainingEngines.find(engineRecord.engineId);
                auto attempt = attempts.find(engineRecord.attemptId);
                if (draining == m_record.drainingEngines.end() || attempt == attempts.end())
                    continue;
                bool afterLimit = engineRecord.event == EngineRecord::Event::Run && engineRecord.recordedAt > draining->second + maxDrainDelay.count() + schedulingSlack.count();
                if (afterLimit && instanceAndStoreUndisturbed(*attempt->second))
                    reportViolation("a draining engine receives no new requests", *attempt->second, fmt::format("{} draining since {}, executed at {}", engineRecord.engineId, draining->second, engineRecord.recordedAt));
            }
        }

        /// Requests that engines received from instances that had passed on an answer stating the limit and were
        /// not disturbed, in order of time.
        std::vector<SoakTime> requestsOfInformedInstances(const StatedLimit& limit) const
        {
            std::vector<std::pair<SoakTime, const Attempt*>> runs;
            for (const auto& attempt : m_record.attempts) {
                for (const auto* engineRecord : engineRecordsOf(attempt.id)) {
                    if (engineRecord->engineId == limit.engineId && engineRecord->recordedAt >= limit.startedAt && engineRecord->recordedAt <= limit.endedAt)
                        runs.emplace_back(engineRecord->recordedAt, &attempt);
                }
            }
            std::sort(runs.begin(), runs.end());
            std::map<std::pair<std::string, int>, SoakTime> informedAt;
            std::vector<SoakTime> requests;
            for (const auto& [recordedAt, attempt] : runs) {
                std::pair instance(attempt->instance, attempt->incarnation);
                auto informed = informedAt.find(instance);
                bool mustKeepLimit = informed != informedAt.end() && recordedAt >= informed->second + limitLearningTime.count() && recordedAt >= limit.startedAt + recoveryAllowance.count();
                if (mustKeepLimit && isUndisturbed(attempt->instance, attempt->sentAt, recordedAt))
                    requests.push_back(recordedAt);
                bool passedOn = attempt->status == 200 && attempt->sealed && attempt->sentAt >= limit.startedAt;
                if (passedOn && informed == informedAt.end())
                    informedAt.emplace(instance, attempt->endedAt);
            }
            return requests;
        }

        void checkStatedLimits()
        {
            for (const auto& limit : m_record.statedLimits) {
                auto requests = requestsOfInformedInstances(limit);
                auto allowed = limitTolerance * limit.requestsPerSecond * static_cast<double>(limitPeriod.count()) / 1000 + limitAllowance;
                std::size_t first = 0;
                for (std::size_t last = 0; last < requests.size(); ++last) {
                    while (requests[last] - requests[first] >= limitPeriod.count())
                        ++first;
                    auto count = last - first + 1;
                    if (static_cast<double>(count) <= allowed)
                        continue;
                    m_violations.push_back({ .guarantee = "an engine gets no more requests than the limit that it states", .evidence = fmt::format("{} stated {} a second from {} to {}; {} requests in {} ms until {}, {} allowed", limit.engineId, limit.requestsPerSecond, limit.startedAt, limit.endedAt, count, limitPeriod.count(), requests[last], allowed) });
                    break;
                }
            }
        }

        /// Instances may be cut off from the store, end or start meanwhile; only what is wrong with the store itself excuses a late request.
        void checkEvacuations()
        {
            std::map<std::string, const Attempt*> attempts;
            for (const auto& attempt : m_record.attempts)
                attempts.emplace(attempt.id, &attempt);
            for (const auto& evacuation : m_record.evacuations) {
                auto inForceAt = evacuation.acknowledgedAt + maxEvacuationDelay.count() + schedulingSlack.count();
                if (!isUndisturbed(storeSubject, evacuation.acknowledgedAt, inForceAt))
                    continue;
                for (const auto& engineRecord : m_record.engineRecords) {
                    auto engine = m_record.domainByEngine.find(engineRecord.engineId);
                    bool inDomain = engine != m_record.domainByEngine.end() && engine->second == evacuation.failureDomain;
                    bool isNew = engineRecord.event == EngineRecord::Event::Arrival && engineRecord.recordedAt > inForceAt && engineRecord.recordedAt < evacuation.endedAt;
                    auto attempt = attempts.find(engineRecord.attemptId);
                    if (inDomain && isNew && attempt != attempts.end() && isUndisturbed(storeSubject, attempt->second->sentAt, engineRecord.recordedAt))
                        reportViolation("an engine of an evacuated domain receives no new requests", *attempt->second, fmt::format("{} of {} evacuated from {} to {}, received at {}", engineRecord.engineId, evacuation.failureDomain, evacuation.acknowledgedAt, evacuation.endedAt, engineRecord.recordedAt));
                }
            }
        }

        void checkCrashRefusal(const Attempt& attempt)
        {
            if (attempt.refusedAsCrashing && !crashesEngines(attempt))
                reportViolation("a request that crashes no engine is not refused for crashes", attempt, fmt::format("status {}", attempt.status));
        }

        /// Callers send a request that crashes engines again and again; soon after it has crashed three of them,
        /// undisturbed instances must stop passing it on.
        void checkCrashingRequests()
        {
            CrashingRuns runsByPath;
            for (const auto& attempt : m_record.attempts) {
                auto trigger = parseCrashTrigger(attempt.path);
                if (!trigger)
                    continue;
                for (const auto* engineRecord : engineRecordsOf(attempt.id)) {
                    if (engineRecord->recordedAt >= trigger->from)
                        runsByPath[attempt.path].push_back({ .record = engineRecord, .attempt = &attempt });
                }
            }
            reportLateRuns(runsByPath, crashesUntilKnown, maxRunsOfKnownCrash, "a request that crashed three engines is not executed again");
        }

        struct CrashingRun {
            const EngineRecord* record = nullptr;
            const Attempt* attempt = nullptr;
        };
        using CrashingRuns = std::map<std::string, std::vector<CrashingRun>>;

        /// Reports requests that crash engines and are executed by undisturbed instances more often than `allowed` once they have
        /// crashed `known` engines.
        void reportLateRuns(CrashingRuns& runsByCause, std::size_t known, int allowed, const char* guarantee)
        {
            for (auto& [cause, runs] : runsByCause) {
                std::stable_sort(runs.begin(), runs.end(), [](const CrashingRun& left, const CrashingRun& right) { return left.record->recordedAt < right.record->recordedAt; });
                std::set<std::string> engines;
                auto last = std::find_if(runs.begin(), runs.end(), [&](const CrashingRun& run) { return engines.insert(run.record->engineId).second && engines.size() == known; });
                if (last == runs.end())
                    continue;
                auto knownAt = last->record->recordedAt + recoveryAllowance.count() + schedulingSlack.count();
                auto lateRuns = std::count_if(runs.begin(), runs.end(), [&](const CrashingRun& run) { return run.record->recordedAt > knownAt && instanceAndStoreUndisturbed(*run.attempt); });
                if (lateRuns > allowed)
                    reportViolation(guarantee, *runs.back().attempt, fmt::format("{}: executed {} times, {} of them later than {}", cause, runs.size(), lateRuns, knownAt));
            }
        }

        /// Callers send requests with a part in their prompts that crashes engines; soon after five have ended, undisturbed instances must
        /// stop passing such requests on.
        void checkCrashingPromptParts()
        {
            CrashingRuns runsByPart;
            for (const auto& attempt : m_record.attempts) {
                if (!attempt.promptPart.starts_with(crashingPromptPart))
                    continue;
                for (const auto* engineRecord : engineRecordsOf(attempt.id))
                    runsByPart[attempt.promptPart].push_back({ .record = engineRecord, .attempt = &attempt });
            }
            reportLateRuns(runsByPart, crashesUntilPartIsKnown, maxRequestsWithKnownPart, "requests with a part in their prompts under which five engines have ended are not executed");
        }

        void checkBrittleEngines()
        {
            int overwhelmed = 0;
            const EngineRecord* last = nullptr;
            for (const auto& engineRecord : m_record.engineRecords) {
                if (engineRecord.event != EngineRecord::Event::Overwhelmed)
                    continue;
                ++overwhelmed;
                last = &engineRecord;
            }
            auto allowed = maxOverwhelmedEngines + static_cast<int>(maxOverwhelmedShare * m_record.brittleEngines);
            if (overwhelmed > allowed)
                m_violations.push_back({ .guarantee = "brittle engines do not end by rejections", .evidence = fmt::format("{} ended, {} allowed; the last one is {} at {}", overwhelmed, allowed, last->engineId, last->recordedAt) });
        }

        /// Reports an accepted request with an incomplete response if only planned stops were in progress.
        void checkPlannedStop(const Attempt& attempt)
        {
            bool cutOff = attempt.requestSent && !attempt.responseComplete && attempt.status < 300;
            // A request sent while the instance closes a kept-alive connection is lost without being accepted.
            cutOff = cutOff && (!engineRecordsOf(attempt.id).empty() || attempt.endedAt - attempt.lastByteSentAt > closeRaceTime);
            if (!cutOff || m_cutWhileEngineBusy.contains(attempt.id) || isUndisturbed(attempt.instance, attempt.sentAt, attempt.endedAt))
                return;
            bool onlyPlanned = isUndisturbed(attempt.instance, attempt.sentAt, attempt.endedAt, Excuse::UnplannedDisturbance) && isUndisturbed(storeSubject, attempt.sentAt, attempt.endedAt, Excuse::UnplannedDisturbance) && isUndisturbed(enginesSubject, attempt.sentAt, attempt.endedAt, Excuse::UnplannedDisturbance);
            if (onlyPlanned)
                reportViolation("a planned stop interrupts no request", attempt, "incomplete response");
        }

        const SoakRecord& m_record;
        std::map<std::string, std::vector<const EngineRecord*>> m_recordsByAttempt;
        /// Attempts that a stop may cut shortly before its limit because their engine was still at work.
        std::set<std::string> m_cutWhileEngineBusy;
        std::vector<Violation> m_violations;
    };

}

std::vector<Violation> findViolations(const SoakRecord& record)
{
    return RecordChecker(record).run();
}

double servedShareAfterFaults(const SoakRecord& record)
{
    int eligible = 0;
    int served = 0;
    for (const auto& attempt : record.attempts) {
        bool allowed = !crashesEngines(attempt) && record.organisationByKey.contains(attempt.apiKey) && !record.revokedKeys.contains(attempt.apiKey) && !record.removedPaths.contains(attempt.path);
        if (!allowed || attempt.sentAt < record.faultsEndedAt + recoveryTimeout)
            continue;
        ++eligible;
        served += attempt.responseComplete && attempt.status == 200 ? 1 : 0;
    }
    return eligible == 0 ? 0 : static_cast<double>(served) / eligible;
}

}
