#include "dispatch/outcometracker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace guavaspan {

namespace {

    /// Time in which an observation loses half its weight: a few outcomes of a busy target.
    constexpr double halfLifeSeconds = 2;
    /// Successes assumed of an unknown target, so that one old failure does not convict it.
    constexpr double assumedSuccesses = 3.5;
    /// Failing share from which a target is avoided; ordinary error rates stay far below.
    constexpr double suspectShare = 0.25;

    double fadeFactor(TimePoint from, TimePoint to)
    {
        return std::exp2(-std::max(0.0, secondsBetween(from, to)) / halfLifeSeconds);
    }

}

OutcomeTracker::Record& OutcomeTracker::faded(const std::string& target, TimePoint now)
{
    auto& record = m_records[target];
    auto factor = fadeFactor(record.updatedAt, now);
    record.failures *= factor;
    record.requests *= factor;
    record.updatedAt = now;
    return record;
}

void OutcomeTracker::onSuccess(const std::string& target, TimePoint now)
{
    faded(target, now).requests += 1;
    ++m_own[target].requests;
}

void OutcomeTracker::onFailure(const std::string& target, TimePoint now)
{
    auto& record = faded(target, now);
    record.requests += 1;
    record.failures += 1;
    auto& own = m_own[target];
    ++own.requests;
    ++own.failures;
}

void OutcomeTracker::onPeerOutcomes(const std::map<std::string, OutcomeCount>& outcomes, TimePoint now)
{
    for (const auto& [target, count] : outcomes) {
        auto& record = faded(target, now);
        record.requests += count.requests;
        record.failures += count.failures;
    }
}

std::map<std::string, OutcomeCount> OutcomeTracker::takeOwn()
{
    return std::exchange(m_own, {});
}

void OutcomeTracker::forget(const std::string& target)
{
    m_records.erase(target);
}

double OutcomeTracker::failureShare(const std::string& target, TimePoint now) const
{
    auto found = m_records.find(target);
    if (found == m_records.end())
        return 0;
    auto factor = fadeFactor(found->second.updatedAt, now);
    return found->second.failures * factor / (found->second.requests * factor + assumedSuccesses);
}

bool OutcomeTracker::isSuspect(const std::string& target, TimePoint now) const
{
    return failureShare(target, now) >= suspectShare;
}

}
