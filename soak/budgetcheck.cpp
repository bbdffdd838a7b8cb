#include "soak/budgetcheck.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace guavaspan::soak {

namespace {

    bool isStream(const Attempt& attempt)
    {
        return attempt.type == RequestType::Stream;
    }

    /// Number of sorted times in the retryWindow that ends at the given time.
    std::ptrdiff_t countInWindow(const std::vector<SoakTime>& times, SoakTime windowEnd)
    {
        return std::upper_bound(times.begin(), times.end(), windowEnd) - std::upper_bound(times.begin(), times.end(), windowEnd - retryWindow.count());
    }

    class BudgetChecker {
    public:
        explicit BudgetChecker(const SoakRecord& record)
            : m_record(record)
        {
            for (const auto& engineRecord : record.engineRecords)
                m_recordsByAttempt[engineRecord.attemptId].push_back(&engineRecord);
        }

        RetryUse worstRetryUse(bool streams) const
        {
            std::vector<SoakTime> requests;
            std::vector<SoakTime> repeats;
            std::vector<SoakTime> resumes;
            for (const auto& attempt : m_record.attempts) {
                if (isStream(attempt) != streams)
                    continue;
                requests.push_back(attempt.sentAt);
                auto arrivals = recordsOf(attempt, EngineRecord::Event::Arrival);
                for (std::size_t i = 1; i < arrivals.size(); ++i)
                    repeats.push_back(arrivals[i]->recordedAt);
                for (const auto* resume : recordsOf(attempt, EngineRecord::Event::Resume))
                    resumes.push_back(resume->recordedAt);
            }
            std::sort(requests.begin(), requests.end());
            std::sort(repeats.begin(), repeats.end());
            std::sort(resumes.begin(), resumes.end());
            RetryUse worst;
            for (auto windowEnd : repeats) {
                // Requests may have been sent before the window in which they are repeated.
                auto requestCount = std::max({ countInWindow(requests, windowEnd), countInWindow(requests, windowEnd - retryWindow.count()), countInWindow(requests, windowEnd - retryWindow.count() / 2) });
                RetryUse use { .endedAt = windowEnd, .repeats = static_cast<int>(countInWindow(repeats, windowEnd)), .resumes = static_cast<int>(countInWindow(resumes, windowEnd)), .allowed = retryRatio * static_cast<double>(requestCount) + retrySlack };
                if (use.shareOfAllowed() > worst.shareOfAllowed())
                    worst = use;
            }
            return worst;
        }

        std::vector<Violation> run()
        {
            checkRetryUse();
            checkAttempts();
            checkDeadlines();
            return std::move(m_violations);
        }

    private:
        /// The records of the attempt's event, in order of time.
        std::vector<const EngineRecord*> recordsOf(const Attempt& attempt, EngineRecord::Event event) const
        {
            std::vector<const EngineRecord*> records;
            auto found = m_recordsByAttempt.find(attempt.id);
            if (found != m_recordsByAttempt.end())
                std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(records), [&](const auto* engineRecord) { return engineRecord->event == event; });
            std::stable_sort(records.begin(), records.end(), [](const auto* left, const auto* right) { return left->recordedAt < right->recordedAt; });
            return records;
        }

        void checkRetryUse()
        {
            for (bool streams : { true, false }) {
                auto use = worstRetryUse(streams);
                if (use.shareOfAllowed() > 1)
                    m_violations.push_back({ .guarantee = "repeated requests keep within the retry budget", .evidence = fmt::format("{}: {} repeats, {} of them resumed generations, in {} ms until {}; {:.1f} allowed", streams ? "streams" : "plain requests", use.repeats, use.resumes, retryWindow.count(), use.endedAt, use.allowed) });
            }
        }

        /// Other requests than lookups may be executed only once, which another check covers.
        void checkAttempts()
        {
            const Attempt* last = nullptr;
            int excessive = 0;
            for (const auto& attempt : m_record.attempts) {
                if (attempt.type != RequestType::Lookup || !isUndisturbed(m_record, enginesSubject, attempt.sentAt, attempt.endedAt, Excuse::AnyDisturbance))
                    continue;
                std::set<std::string> engines;
                for (const auto* run : recordsOf(attempt, EngineRecord::Event::Run))
                    engines.insert(run->engineId);
                if (engines.size() <= static_cast<std::size_t>(maxAttemptsOfLookups))
                    continue;
                ++excessive;
                last = &attempt;
            }
            if (excessive > maxExcessiveAttempts)
                m_violations.push_back(makeViolation("a request is executed by no more engines than its route allows", *last, fmt::format("and {} other requests", excessive - 1)));
        }

        void checkDeadlines()
        {
            const Attempt* last = nullptr;
            int excessive = 0;
            int counted = 0;
            for (const auto& attempt : m_record.attempts) {
                bool inTouch = isUndisturbed(m_record, attempt.instance, attempt.sentAt, attempt.endedAt, Excuse::AnyDisturbance) && isUndisturbed(m_record, storeSubject, attempt.sentAt, attempt.endedAt, Excuse::AnyDisturbance);
                auto arrivals = recordsOf(attempt, EngineRecord::Event::Arrival);
                if (!inTouch || isStream(attempt))
                    continue;
                for (const auto* arrival : arrivals) {
                    bool late = arrival->recordedAt > arrivals.front()->recordedAt + deadlineTolerance.count();
                    bool exceeds = exceedsDeadline(attempt, *arrivals.front(), *arrival, late);
                    counted += late || exceeds ? 1 : 0;
                    excessive += exceeds ? 1 : 0;
                    last = exceeds ? &attempt : last;
                }
            }
            if (excessive > maxExcessiveDeadlines && excessive > maxExcessiveDeadlineShare * counted)
                m_violations.push_back(makeViolation("an engine gets no more time than is left", *last, fmt::format("and {} other times; {} late repeats and excessive deadlines", excessive - 1, counted)));
        }

        static bool exceedsDeadline(const Attempt& attempt, const EngineRecord& first, const EngineRecord& arrival, bool late)
        {
            if (arrival.deadlineMs == EngineRecord::noDeadline || arrival.deadlineMs > attempt.deadlineMs + deadlineTolerance.count())
                return true;
            auto latestEnd = std::max(first.recordedAt + first.deadlineMs, attempt.sentAt + attempt.deadlineMs);
            return late && arrival.recordedAt + arrival.deadlineMs > latestEnd + deadlineTolerance.count();
        }

        const SoakRecord& m_record;
        std::map<std::string, std::vector<const EngineRecord*>> m_recordsByAttempt;
        std::vector<Violation> m_violations;
    };

}

RetryUse worstRetryUse(const SoakRecord& record, bool streams)
{
    return BudgetChecker(record).worstRetryUse(streams);
}

std::vector<Violation> findBudgetViolations(const SoakRecord& record)
{
    return BudgetChecker(record).run();
}

}
