#include "dispatch/outcometracker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace guavaspan {

namespace {

    /// Time in which an outcome loses half its weight. A busy target completes a few requests in it.
    constexpr double halfLifeSeconds = 2;
    /// Successes assumed in addition to the recorded requests, so that a single failure does not make an
    /// address suspect.
    constexpr double assumedSuccesses = 3.5;
    /// Failure rate from which a target is avoided; ordinary error rates stay far below.
    constexpr double suspectFailureRate = 0.25;
    /// Failures that one missing response counts as: enough to make the address suspect on its own.
    constexpr int unreachableWeight = 2;
    /// Time between two probes of a suspect. A crashed engine is back after some seconds.
    constexpr auto probeInterval = Milliseconds(1000);

    double decayFactor(TimePoint from, TimePoint to)
    {
        return std::exp2(-std::max(0.0, secondsBetween(from, to)) / halfLifeSeconds);
    }

}

OutcomeTracker::Record& OutcomeTracker::decayedRecord(const std::string& address, TimePoint now)
{
    auto& record = m_records[address];
    auto factor = decayFactor(record.updatedAt, now);
    record.failures *= factor;
    record.requests *= factor;
    record.updatedAt = now;
    return record;
}

void OutcomeTracker::addOutcomes(const std::string& address, const OutcomeCount& outcomes, TimePoint now)
{
    auto& record = decayedRecord(address, now);
    record.requests += outcomes.requests;
    record.failures += outcomes.failures;
}

void OutcomeTracker::addLocalOutcomes(const std::string& address, const OutcomeCount& outcomes, TimePoint now)
{
    addOutcomes(address, outcomes, now);
    m_unreported[address] += outcomes;
}

void OutcomeTracker::onSuccess(const std::string& address, TimePoint now)
{
    addLocalOutcomes(address, { .requests = 1 }, now);
}

void OutcomeTracker::onFailure(const std::string& address, TimePoint now)
{
    addLocalOutcomes(address, { .requests = 1, .failures = 1 }, now);
}

void OutcomeTracker::onUnreachable(const std::string& address, TimePoint now)
{
    addLocalOutcomes(address, { .requests = unreachableWeight, .failures = unreachableWeight }, now);
}

void OutcomeTracker::onPeerOutcomes(const std::map<std::string, OutcomeCount>& outcomes, TimePoint now)
{
    for (const auto& [address, outcome] : outcomes)
        addOutcomes(address, outcome, now);
}

std::map<std::string, OutcomeCount> OutcomeTracker::takeUnreported()
{
    return std::exchange(m_unreported, {});
}

void OutcomeTracker::forget(const std::string& address)
{
    m_records.erase(address);
    m_unreported.erase(address);
}

double OutcomeTracker::failureRate(const std::string& address, TimePoint now) const
{
    auto found = m_records.find(address);
    if (found == m_records.end())
        return 0;
    auto factor = decayFactor(found->second.updatedAt, now);
    return found->second.failures * factor / (found->second.requests * factor + assumedSuccesses);
}

bool OutcomeTracker::isSuspect(const std::string& address, TimePoint now) const
{
    return failureRate(address, now) >= suspectFailureRate;
}

bool OutcomeTracker::mayProbe(const std::string& address, TimePoint now) const
{
    auto found = m_records.find(address);
    return found == m_records.end() || found->second.probedAt + probeInterval <= now;
}

void OutcomeTracker::onProbed(const std::string& address, TimePoint now)
{
    decayedRecord(address, now).probedAt = now;
}

}
