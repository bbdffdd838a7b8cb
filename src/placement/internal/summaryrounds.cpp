#include "placement/summaryrounds.h"

namespace guavaspan {

FleetSummary SummaryRounds::makeSummary(TimePoint now)
{
    return { .aggregator = m_fleet.self(), .sequence = ++m_sequence, .silentInstances = m_fleet.silentInstances(now), .instancesNotRelaying = m_fleet.instancesNotRelaying(now), .unreachableServices = m_fleet.unreachableServices(now) };
}

std::optional<FleetSummary> SummaryRounds::onReport(const InstanceLoadReport& report, TimePoint now)
{
    if (!m_fleet.aggregates())
        return std::nullopt;
    m_reports.onReport(report, now);
    bool choosesThis = !report.aggregators.empty() && report.aggregators.front() == m_fleet.self();
    bool isNew = choosesThis && m_members.insert(report.instance).second;
    return isNew ? std::optional(makeSummary(now)) : std::nullopt;
}

bool SummaryRounds::isDue(TimePoint now) const
{
    return m_fleet.aggregates() && m_fleet.silentInstances(now) != m_silentInstances;
}

std::map<std::string, FleetSummary> SummaryRounds::begin(TimePoint now)
{
    std::map<std::string, FleetSummary> summaries;
    m_members.clear();
    if (!m_fleet.aggregates())
        return summaries;
    m_reports.beginRound(now);
    auto common = makeSummary(now);
    m_silentInstances = common.silentInstances;
    for (const auto& member : m_fleet.members(now)) {
        auto summary = common;
        m_reports.addTo(summary, member, now);
        summaries.emplace(member, std::move(summary));
        m_members.insert(member);
    }
    return summaries;
}

}
