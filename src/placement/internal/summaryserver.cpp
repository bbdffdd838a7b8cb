#include "placement/summaryserver.h"

namespace guavaspan {

SummaryServer::SummaryServer(SummaryServerOptions options)
    : m_options(options)
    // Starts above the sequence numbers of the previous incarnation.
    , m_sequence(unixMilliseconds())
{
}

void SummaryServer::onReport(const InstanceLoadReport& report, TimePoint now)
{
    const auto& fleet = m_options.fleet;
    if (!fleet.aggregates())
        return;
    m_aggregator.onReport(report, now);
    bool choosesThis = !report.aggregators.empty() && report.aggregators.front() == fleet.self();
    if (choosesThis && m_members.insert(report.instance).second)
        m_options.link.send(report.instance, makeSummary(now));
}

FleetSummary SummaryServer::makeSummary(TimePoint now)
{
    const auto& fleet = m_options.fleet;
    return { .aggregator = fleet.self(), .sequence = ++m_sequence, .silentInstances = fleet.silentInstances(now), .instancesNotRelaying = fleet.instancesNotRelaying(now), .unreachableServices = fleet.unreachableServices(now) };
}

/// Engines are placed by the owners of their pools, which receive all reports.
TargetLoads SummaryServer::plainLoads() const
{
    TargetLoads loads;
    auto table = m_options.configuration.table();
    for (const auto* target : m_options.directory.usableTargets()) {
        const auto* service = table ? table->service(target->service) : nullptr;
        auto load = m_options.dispatcher.ledger().totalLoad(target->id);
        if (service && !service->engine && load.requests > 0)
            loads.emplace(target->id, load);
    }
    return loads;
}

TargetLoads SummaryServer::loadsOfOthers(const TargetLoads& plainLoads, const std::string& member) const
{
    const auto& peerLoads = m_options.dispatcher.ledger().peerLoads();
    auto ownLoads = peerLoads.find(member);
    if (ownLoads == peerLoads.end())
        return plainLoads;
    auto loads = plainLoads;
    for (const auto& [target, load] : ownLoads->second) {
        auto found = loads.find(target);
        if (found == loads.end())
            continue;
        found->second -= load;
        if (found->second.requests <= 0)
            loads.erase(found);
    }
    return loads;
}

void SummaryServer::sendSummaries(TimePoint now)
{
    const auto& fleet = m_options.fleet;
    if (!fleet.aggregates()) {
        m_members.clear();
        return;
    }
    m_aggregator.beginRound(now);
    auto common = makeSummary(now);
    m_silentInstances = common.silentInstances;
    auto loads = plainLoads();
    auto members = fleet.members(now);
    for (const auto& member : members) {
        auto summary = common;
        summary.loads = loadsOfOthers(loads, member);
        m_aggregator.addTo(summary, member, now);
        m_options.link.send(member, summary);
    }
    m_members = { members.begin(), members.end() };
}

void SummaryServer::onTick(TimePoint now)
{
    if (m_options.fleet.aggregates() && m_options.fleet.silentInstances(now) != m_silentInstances)
        sendSummaries(now);
}

}
