#include "soak/checks.h"

#include "soak/constants.h"

#include <algorithm>
#include <fmt/format.h>

namespace guavaspan::soak {

namespace {

    /// Time after the last fault before callers must be served again.
    constexpr SoakTime recoveryTime = 6000;

    /// Time in which a request may cross the close of its connection.
    constexpr SoakTime crossingTime = 200;

    bool promisesNotRun(unsigned status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    class Checker {
    public:
        explicit Checker(const SoakRecord& record)
            : m_record(record)
        {
            for (const auto& each : record.engineRecords)
                m_byAttempt[each.attempt].push_back(&each);
        }

        std::vector<Violation> run()
        {
            for (const auto& attempt : m_record.attempts) {
                checkAnswer(attempt);
                checkRuns(attempt);
                checkKey(attempt);
                checkConfiguration(attempt);
                checkPlannedStop(attempt);
            }
            checkRegress();
            checkBills();
            checkLeavingEngines();
            return std::move(m_violations);
        }

    private:
        void report(const char* promise, const Attempt& attempt, const std::string& detail)
        {
            m_violations.push_back({ .promise = promise, .evidence = fmt::format("{} {} at {} life {} sent {} ended {} status {}: {}", attempt.id, attempt.path, attempt.instance, attempt.life, attempt.sentAt, attempt.endedAt, attempt.status, detail) });
        }

        std::vector<const EngineRecord*> recordsOf(const std::string& attempt) const
        {
            auto found = m_byAttempt.find(attempt);
            return found == m_byAttempt.end() ? std::vector<const EngineRecord*> {} : found->second;
        }

        /// True if nothing was done to the subject from some time before a span to its end.
        bool calm(const std::string& subject, SoakTime from, SoakTime to, bool plannedCounts = true) const
        {
            return std::none_of(m_record.disturbances.begin(), m_record.disturbances.end(), [&](const Disturbance& each) {
                bool counts = each.subject == subject && (plannedCounts || !each.planned);
                return counts && each.from <= to && each.to + contactTime.count() >= from;
            });
        }

        bool inTouch(const Attempt& attempt) const
        {
            return calm(attempt.instance, attempt.sentAt, attempt.endedAt) && calm(storeSubject, attempt.sentAt, attempt.endedAt);
        }

        void checkAnswer(const Attempt& attempt)
        {
            if (!attempt.fault.empty())
                report("each piece once, in order, from one run", attempt, attempt.fault);
            bool succeeded = attempt.status >= 200 && attempt.status < 300;
            if (succeeded && !attempt.sealed)
                report("an answer is an engine's own", attempt, "a success without a seal");
            if (succeeded && attempt.complete && recordsOf(attempt.id).empty())
                report("an answer is an engine's own", attempt, "no engine ran it");
        }

        void checkRuns(const Attempt& attempt)
        {
            auto records = recordsOf(attempt.id);
            auto runs = std::count_if(records.begin(), records.end(), [](const EngineRecord* each) { return each->event == EngineRecord::Event::Run; });
            if (attempt.kind != RequestKind::Lookup && runs > 1)
                report("non-idempotent work runs at most once", attempt, fmt::format("{} runs", runs));
            if (attempt.kind != RequestKind::Lookup && promisesNotRun(attempt.status) && !records.empty())
                report("a refusal says the truth", attempt, fmt::format("ran at {}", records.front()->engine));
        }

        void checkKey(const Attempt& attempt)
        {
            auto records = recordsOf(attempt.id);
            auto owner = m_record.organisationOfKey.find(attempt.key);
            auto revoked = m_record.revokedKeys.find(attempt.key);
            bool late = revoked != m_record.revokedKeys.end() && attempt.sentAt > revoked->second + revocationBound.count();
            for (const auto* each : records) {
                if (owner == m_record.organisationOfKey.end())
                    report("only known keys run", attempt, "ran at " + each->engine);
                else if (owner->second != each->organisation)
                    report("work runs for the key's organisation", attempt, "ran for " + each->organisation);
                else if (late)
                    report("a key that was taken away runs nothing", attempt, fmt::format("taken away at {}", revoked->second));
            }
        }

        void checkConfiguration(const Attempt& attempt)
        {
            auto bound = configurationBound.count() + schedulingSlack.count();
            auto added = m_record.addedPaths.find(attempt.path);
            auto removed = m_record.removedPaths.find(attempt.path);
            bool exists = added != m_record.addedPaths.end() && attempt.sentAt > added->second + bound && removed == m_record.removedPaths.end();
            if (exists && attempt.status == 404 && inTouch(attempt))
                report("a configuration is in force everywhere in seconds", attempt, fmt::format("added at {}", added->second));
            bool gone = removed != m_record.removedPaths.end() && attempt.sentAt > removed->second + bound;
            if (gone && !recordsOf(attempt.id).empty() && inTouch(attempt))
                report("a configuration is in force everywhere in seconds", attempt, fmt::format("removed at {}", removed->second));
        }

        /// A life of an instance that served a new path knows it from then on.
        void checkRegress()
        {
            std::map<std::tuple<std::string, int, std::string>, SoakTime> served;
            for (const auto& attempt : m_record.attempts) {
                std::tuple key(attempt.instance, attempt.life, attempt.path);
                if (attempt.status == 200 && m_record.addedPaths.contains(attempt.path)) {
                    auto [known, isNew] = served.emplace(key, attempt.endedAt);
                    known->second = std::min(known->second, attempt.endedAt);
                }
            }
            for (const auto& attempt : m_record.attempts) {
                auto known = served.find({ attempt.instance, attempt.life, attempt.path });
                bool regressed = known != served.end() && attempt.status == 404 && attempt.sentAt > known->second;
                if (regressed && !m_record.removedPaths.contains(attempt.path))
                    report("a configuration never reverts", attempt, fmt::format("served at {}", known->second));
            }
        }

        /// A kill loses what was not on record yet; nothing may be there that callers did not get.
        void checkBills()
        {
            std::map<std::string, std::int64_t> delivered;
            std::map<std::string, std::int64_t> unanswered;
            for (const auto& attempt : m_record.attempts) {
                auto owner = m_record.organisationOfKey.find(attempt.key);
                if (owner == m_record.organisationOfKey.end())
                    continue;
                delivered[owner->second] += attempt.status == 200 ? 1 : 0;
                unanswered[owner->second] += attempt.status == 0 ? 1 : 0;
            }
            for (const auto& [organisation, billed] : m_record.billedRequests) {
                auto most = delivered[organisation] + unanswered[organisation];
                auto least = m_record.recordsComplete ? delivered[organisation] : 0;
                if (billed < least || billed > most)
                    m_violations.push_back({ .promise = "use is billed once", .evidence = fmt::format("{}: {} on record, {} delivered, {} unanswered", organisation, billed, delivered[organisation], unanswered[organisation]) });
            }
        }

        void checkLeavingEngines()
        {
            std::map<std::string, const Attempt*> attempts;
            for (const auto& attempt : m_record.attempts)
                attempts.emplace(attempt.id, &attempt);
            for (const auto& each : m_record.engineRecords) {
                auto leaving = m_record.leavingEngines.find(each.engine);
                auto attempt = attempts.find(each.attempt);
                if (leaving == m_record.leavingEngines.end() || attempt == attempts.end())
                    continue;
                bool late = each.event == EngineRecord::Event::Run && each.at > leaving->second + drainBound.count() + schedulingSlack.count();
                if (late && inTouch(*attempt->second))
                    report("a leaving engine gets nothing new", *attempt->second, fmt::format("{} leaves since {}, run at {}", each.engine, leaving->second, each.at));
            }
        }

        /// Only a stop was going on, and the request that had been taken got no whole answer.
        void checkPlannedStop(const Attempt& attempt)
        {
            bool cut = attempt.sent && !attempt.complete && attempt.status < 300;
            // A request may cross the close of a kept connection; then nothing took it.
            cut = cut && (!recordsOf(attempt.id).empty() || attempt.endedAt - attempt.sentAt > crossingTime);
            if (!cut || calm(attempt.instance, attempt.sentAt, attempt.endedAt))
                return;
            bool onlyPlanned = calm(attempt.instance, attempt.sentAt, attempt.endedAt, false) && calm(storeSubject, attempt.sentAt, attempt.endedAt, false) && calm(enginesSubject, attempt.sentAt, attempt.endedAt, false);
            if (onlyPlanned)
                report("a planned stop cuts nothing", attempt, "no whole answer");
        }

        const SoakRecord& m_record;
        std::map<std::string, std::vector<const EngineRecord*>> m_byAttempt;
        std::vector<Violation> m_violations;
    };

}

std::vector<Violation> findViolations(const SoakRecord& record)
{
    return Checker(record).run();
}

double servedWhenCalm(const SoakRecord& record)
{
    int owed = 0;
    int served = 0;
    for (const auto& attempt : record.attempts) {
        bool allowed = record.organisationOfKey.contains(attempt.key) && !record.revokedKeys.contains(attempt.key) && !record.removedPaths.contains(attempt.path);
        if (!allowed || attempt.sentAt < record.calmSince + recoveryTime)
            continue;
        ++owed;
        served += attempt.complete && attempt.status == 200 ? 1 : 0;
    }
    return owed == 0 ? 0 : static_cast<double>(served) / owed;
}

}
