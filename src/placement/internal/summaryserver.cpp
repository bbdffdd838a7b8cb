#include "placement/summaryserver.h"

namespace guavaspan {

SummaryServer::SummaryServer(SummaryServerOptions options)
    : m_options(options)
    , m_rounds(options.fleet, unixMilliseconds())
{
}

void SummaryServer::onReport(const InstanceLoadReport& report, TimePoint now)
{
    if (auto summary = m_rounds.onReport(report, now))
        m_options.link.send(report.instance, *summary);
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
    auto summaries = m_rounds.begin(now);
    if (summaries.empty())
        return;
    auto loads = plainLoads();
    auto paces = m_options.dispatcher.paces().takeUnannounced(now);
    for (auto& [member, summary] : summaries) {
        summary.loads = loadsOfOthers(loads, member);
        summary.paces = paces;
        m_options.link.send(member, summary);
    }
}

void SummaryServer::onTick(TimePoint now)
{
    if (m_rounds.isDue(now))
        sendSummaries(now);
}

}
