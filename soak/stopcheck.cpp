#include "soak/stopcheck.h"

#include "soak/constants.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <limits>

namespace guavaspan::soak {

namespace {

    constexpr SoakTime never = std::numeric_limits<SoakTime>::max();

    class StopChecker {
    public:
        explicit StopChecker(const SoakRecord& record)
            : m_record(record)
        {
            for (const auto& engineRecord : record.engineRecords)
                m_recordsByAttempt[engineRecord.attemptId].push_back(&engineRecord);
        }

        std::vector<CutResponse> cutResponses() const
        {
            std::vector<CutResponse> cuts;
            for (const auto& attempt : m_record.attempts) {
                if (!attempt.requestSent || attempt.responseComplete)
                    continue;
                if (const auto* stop = stopAround(attempt))
                    cuts.push_back({ .attempt = attempt, .stop = *stop, .reason = reasonOf(attempt, *stop) });
            }
            return cuts;
        }

    private:
        /// The stop of the process that took the request, if the connection ended after it began. The end may be
        /// seen long after the stop limit by a caller that reads slowly.
        const PlannedStop* stopAround(const Attempt& attempt) const
        {
            auto found = std::find_if(m_record.plannedStops.begin(), m_record.plannedStops.end(), [&](const PlannedStop& stop) {
                return stop.instance == attempt.instance && stop.incarnation == attempt.incarnation && stop.signalledAt <= attempt.endedAt;
            });
            return found == m_record.plannedStops.end() ? nullptr : &*found;
        }

        CutReason reasonOf(const Attempt& attempt, const PlannedStop& stop) const
        {
            auto found = m_recordsByAttempt.find(attempt.id);
            auto records = found == m_recordsByAttempt.end() ? std::vector<const EngineRecord*> {} : found->second;
            if (records.empty() && attempt.endedAt - attempt.lastByteSentAt <= closeAllowance.count())
                return CutReason::CloseRace;
            if (engineBrokeOff(records))
                return CutReason::EngineBrokeOff;
            if (attempt.endedAt >= attempt.sentAt + attempt.deadlineMs)
                return CutReason::DeadlineReached;
            if (attempt.lastByteSentAt <= stop.signalledAt + stopRequestPeriod.count() && engineBusyUntilStopLimit(records, stop, attempt.endedAt))
                return CutReason::EngineBusyUntilStopLimit;
            auto undisturbed = [&](const std::string& subject) { return isUndisturbed(m_record, subject, attempt.sentAt, attempt.endedAt, Excuse::UnplannedDisturbanceOutsideStops); };
            if (!undisturbed(attempt.instance) || !undisturbed(storeSubject) || !undisturbed(enginesSubject))
                return CutReason::UnplannedDisturbance;
            return CutReason::Lost;
        }

        static bool engineBrokeOff(const std::vector<const EngineRecord*>& records)
        {
            auto last = std::find_if(records.rbegin(), records.rend(), [](const auto* engineRecord) { return engineRecord->event == EngineRecord::Event::Arrival; });
            return last != records.rend() && std::any_of(records.begin(), records.end(), [&](const auto* engineRecord) { return engineRecord->event == EngineRecord::Event::BreakOff && engineRecord->engineId == (*last)->engineId; });
        }

        static bool engineBusyUntilStopLimit(const std::vector<const EngineRecord*>& records, const PlannedStop& stop, SoakTime cutAt)
        {
            auto lastPartStart = stop.signalledAt + (stopTimeout - lastPartOfStop).count();
            return cutAt >= lastPartStart && std::any_of(records.begin(), records.end(), [&](const auto* start) {
                return start->isExecution() && endOf(*start, records) >= lastPartStart;
            });
        }

        static SoakTime endOf(const EngineRecord& start, const std::vector<const EngineRecord*>& records)
        {
            for (const auto* engineRecord : records) {
                bool ends = engineRecord->event == EngineRecord::Event::End || engineRecord->event == EngineRecord::Event::BreakOff;
                if (ends && engineRecord->engineId == start.engineId && engineRecord->recordedAt >= start.recordedAt)
                    return engineRecord->recordedAt;
            }
            return never;
        }

        const SoakRecord& m_record;
        std::map<std::string, std::vector<const EngineRecord*>> m_recordsByAttempt;
    };

}

const char* toString(CutReason reason)
{
    switch (reason) {
    case CutReason::Lost:
        return "lost";
    case CutReason::CloseRace:
        return "closed before any engine received the request";
    case CutReason::EngineBrokeOff:
        return "engine broke off";
    case CutReason::DeadlineReached:
        return "deadline reached";
    case CutReason::EngineBusyUntilStopLimit:
        return "engine busy until the stop limit";
    case CutReason::UnplannedDisturbance:
        return "unplanned disturbance";
    }
    return "";
}

std::vector<CutResponse> findCutResponses(const SoakRecord& record)
{
    return StopChecker(record).cutResponses();
}

std::string describe(const CutResponse& cut)
{
    return fmt::format("{} {} incarnation {} SIGTERM {} sent {} last byte {} ended {} status {}: {}", cut.attempt.id, cut.attempt.instance, cut.attempt.incarnation, cut.stop.signalledAt, cut.attempt.sentAt, cut.attempt.lastByteSentAt, cut.attempt.endedAt, cut.attempt.status, toString(cut.reason));
}

std::vector<Violation> findStopViolations(const SoakRecord& record)
{
    std::vector<Violation> violations;
    for (const auto& cut : findCutResponses(record)) {
        if (cut.reason == CutReason::Lost)
            violations.push_back(makeViolation("an accepted request is answered before its instance ends", cut.attempt, fmt::format("last byte sent {}, SIGTERM at {}", cut.attempt.lastByteSentAt, cut.stop.signalledAt)));
    }
    return violations;
}

}
