#include "dispatch/memoryreserve.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Demand for urgent short requests counts for this time: two to three of the bursts seen, which last 6 s or less.
    constexpr auto demandWindow = Seconds(10);
    /// Time that a short request occupies its memory: its prompt and a few tokens.
    constexpr double shortResidenceSeconds = 0.6;
    /// Bursts of urgent short requests reach up to twice their mean rate.
    constexpr double burstFactor = 2;
    /// Largest share of an engine's memory that is kept for urgent short requests.
    constexpr double maxUrgentShare = 0.08;
    /// Largest share of an engine's memory that is kept for moves; beyond it most engines drain, and new requests
    /// are better served than refused.
    constexpr double maxMovingShare = 0.25;
    /// Time after which the load reports show what filled a destination.
    constexpr auto refusalMemory = Milliseconds(2000);

}

void MemoryReserve::evictOldDemand(std::deque<Demand>& demand, TimePoint now)
{
    while (!demand.empty() && demand.front().at + demandWindow < now)
        demand.pop_front();
}

void MemoryReserve::onUrgentRequest(const std::string& service, const WorkEstimate& estimate, TimePoint now)
{
    auto& demand = m_demandByService[service];
    evictOldDemand(demand, now);
    demand.push_back({ .at = now, .tokens = estimate.promptTokens + estimate.copiedTokens });
}

double MemoryReserve::tokensPerEngine(const std::string& service, const ReserveInputs& inputs, TimePoint now)
{
    double engines = static_cast<double>(std::max<std::size_t>(1, inputs.usableEngines));
    double moving = std::min(inputs.movingTokens / engines, maxMovingShare * inputs.memoryTokens);
    auto found = m_demandByService.find(service);
    if (found == m_demandByService.end())
        return moving;
    evictOldDemand(found->second, now);
    double demandedTokens = 0;
    for (const auto& demand : found->second)
        demandedTokens += demand.tokens;
    double tokensPerSecond = demandedTokens / std::chrono::duration<double>(demandWindow).count();
    double urgent = burstFactor * shortResidenceSeconds * tokensPerSecond / engines;
    return moving + std::min(urgent, maxUrgentShare * inputs.memoryTokens);
}

void MemoryReserve::onDestinationFull(const std::string& target, int tokensHeld, double roomTokens, TimePoint now)
{
    double missing = std::max(0.0, roomTokens - tokensHeld);
    auto& refusal = m_refusalByTarget[target];
    refusal = { .at = now, .missingTokens = std::max(missing, missingTokens(target, now)) };
}

double MemoryReserve::missingTokens(const std::string& target, TimePoint now) const
{
    auto found = m_refusalByTarget.find(target);
    if (found == m_refusalByTarget.end() || found->second.at + refusalMemory <= now)
        return 0;
    return found->second.missingTokens;
}

void MemoryReserve::onTick(TimePoint now)
{
    std::erase_if(m_refusalByTarget, [&](const auto& entry) { return entry.second.at + refusalMemory <= now; });
}

}
