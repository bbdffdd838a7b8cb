#include "placement/reportaggregator.h"

#include <utility>

namespace guavaspan {

namespace {

    /// Time after a failure for which the outcomes at its address are passed on: until the failure has lost its weight.
    constexpr auto failureMemory = Seconds(10);
    /// Time without a report that repeats a stated limit after which it is no longer passed on.
    constexpr auto limitMemory = Seconds(2);

    template <typename Sums>
    void add(Sums& sums, const Sums& others)
    {
        for (const auto& [key, other] : others)
            sums[key] += other;
    }

    /// The sums of a part are among those of the whole.
    LengthSums difference(LengthSums whole, LengthSums part)
    {
        part *= -1;
        whole += part;
        return whole;
    }

}

void ReportAggregator::onReport(const InstanceLoadReport& report, TimePoint now)
{
    add(m_collected.outcomes, report.outcomes);
    add(m_collected.lengths, report.lengths);
    if (!report.outcomes.empty() || !report.lengths.empty()) {
        auto& own = m_collectedByInstance[report.instance];
        add(own.outcomes, report.outcomes);
        add(own.lengths, report.lengths);
    }
    for (const auto& [address, outcome] : report.outcomes) {
        if (outcome.failures > 0)
            m_lastFailures[address] = now;
    }
    addLimits(report, now);
    if (report.configurationVersion > m_configurationVersion) {
        m_configurationVersion = report.configurationVersion;
        m_configurationHolder = report.instance;
    }
}

void ReportAggregator::addLimits(const InstanceLoadReport& report, TimePoint now)
{
    for (const auto& [target, limit] : report.limits) {
        auto known = m_limits.find(target);
        bool newer = known == m_limits.end() || now - limit.age >= known->second.receivedAt - known->second.limit.age;
        if (newer)
            m_limits.insert_or_assign(target, TimedLimit { .limit = limit, .statedTo = report.instance, .receivedAt = now });
    }
}

void ReportAggregator::beginRound(TimePoint now)
{
    m_round = std::exchange(m_collected, {});
    m_roundByInstance = std::exchange(m_collectedByInstance, {});
    std::erase_if(m_lastFailures, [&](const auto& entry) { return entry.second + failureMemory < now; });
    std::erase_if(m_limits, [&](const auto& entry) { return entry.second.receivedAt + limitMemory < now; });
}

void ReportAggregator::addTo(FleetSummary& summary, const std::string& member, TimePoint now) const
{
    auto found = m_roundByInstance.find(member);
    Reported none;
    const auto& own = found == m_roundByInstance.end() ? none : found->second;
    for (const auto& [address, outcome] : m_round.outcomes) {
        auto others = outcome;
        if (auto ownOutcome = own.outcomes.find(address); ownOutcome != own.outcomes.end())
            others -= ownOutcome->second;
        if (others.requests > 0 && m_lastFailures.contains(address))
            summary.outcomes.emplace(address, others);
    }
    for (const auto& [route, sums] : m_round.lengths) {
        auto ownSums = own.lengths.find(route);
        auto others = ownSums == own.lengths.end() ? sums : difference(sums, ownSums->second);
        if (others.generationCount > 0)
            summary.lengths.emplace(route, others);
    }
    for (const auto& [target, timed] : m_limits) {
        if (timed.statedTo == member)
            continue;
        auto limit = timed.limit;
        limit.age += std::chrono::duration_cast<Milliseconds>(now - timed.receivedAt);
        summary.limits.emplace(target, limit);
    }
    summary.configurationVersion = m_configurationVersion;
    summary.configurationHolder = m_configurationHolder;
}

}
