#include "dispatch/loadledger.h"

#include "dispatch/memoryforecast.h"

#include <algorithm>
#include <utility>

namespace guavaspan {

namespace {

    /// Share of a generation's remaining growth that counts as load. The generations of an engine progress
    /// independently, so they do not all reach their full size at once.
    constexpr double expectedGrowthShare = 0.7;
    /// Expected output of a generation as a multiple of the tokens produced so far. Lengths vary over orders of
    /// magnitude, so the longer a generation has run, the more output it is likely to add.
    constexpr double expectedOutputMultiple = 1.35;
    /// Tokens added to that multiple: a few events.
    constexpr int minGrowthTokens = 32;

}

TargetLoad LoadLedger::loadOf(const Work& work)
{
    double output = work.estimate.outputTokens;
    if (output > 0 && work.outputTokens > 0)
        output = std::max(output, expectedOutputMultiple * work.outputTokens + minGrowthTokens);
    bool isPromptPending = work.outputTokens == 0;
    double growth = expectedGrowthShare * std::max(0.0, output - work.outputTokens);
    double held = work.estimate.promptTokens + work.estimate.copiedTokens + work.outputTokens;
    return { .requests = 1, .tokens = held + growth, .pendingPromptTokens = isPromptPending ? static_cast<double>(work.estimate.promptTokens) : 0, .heldTokens = held, .growthTokens = expectedGrowth(work.estimate.outputTokens, work.outputTokens) };
}

void LoadLedger::addTotal(const std::string& target, const TargetLoad& load)
{
    m_totalLoads[target] += load;
}

void LoadLedger::subtractTotal(const std::string& target, const TargetLoad& load)
{
    auto totalLoad = m_totalLoads.find(target);
    totalLoad->second -= load;
    if (totalLoad->second.requests == 0)
        m_totalLoads.erase(totalLoad);
}

void LoadLedger::add(const Work& work)
{
    auto load = loadOf(work);
    addTotal(work.target, load);
    if (work.forPeer)
        return;
    m_localLoads[work.target] += load;
    m_changedTargets.insert(work.target);
}

void LoadLedger::subtract(const Work& work)
{
    auto load = loadOf(work);
    subtractTotal(work.target, load);
    if (work.forPeer)
        return;
    auto localLoad = m_localLoads.find(work.target);
    localLoad->second -= load;
    if (localLoad->second.requests == 0)
        m_localLoads.erase(localLoad);
    m_changedTargets.insert(work.target);
}

void LoadLedger::begin(WorkId id, const std::string& target, const WorkEstimate& estimate)
{
    end(id);
    Work work { .target = target, .estimate = estimate };
    add(work);
    m_workById.emplace(id, std::move(work));
}

void LoadLedger::beginForPeer(WorkId id, const std::string& target, const WorkEstimate& estimate)
{
    end(id);
    Work work { .target = target, .estimate = estimate, .forPeer = true };
    add(work);
    m_workById.emplace(id, std::move(work));
}

void LoadLedger::setOutputTokens(WorkId id, int outputTokens)
{
    auto found = m_workById.find(id);
    if (found == m_workById.end())
        return;
    subtract(found->second);
    found->second.outputTokens = outputTokens;
    add(found->second);
}

void LoadLedger::setTarget(WorkId id, const std::string& target)
{
    auto found = m_workById.find(id);
    if (found == m_workById.end())
        return;
    subtract(found->second);
    found->second.target = target;
    add(found->second);
}

void LoadLedger::end(WorkId id)
{
    auto found = m_workById.find(id);
    if (found == m_workById.end())
        return;
    subtract(found->second);
    m_workById.erase(found);
}

void LoadLedger::setPeerLoads(const std::string& instance, TargetLoads loads)
{
    removePeer(instance);
    for (const auto& [target, load] : loads)
        addTotal(target, load);
    m_peerLoads.insert_or_assign(instance, std::move(loads));
}

void LoadLedger::updatePeerLoads(const std::string& instance, const TargetLoads& changedLoads)
{
    auto& loads = m_peerLoads[instance];
    for (const auto& [target, load] : changedLoads) {
        auto previous = loads.find(target);
        if (previous != loads.end()) {
            subtractTotal(target, previous->second);
            loads.erase(previous);
        }
        if (load.requests <= 0)
            continue;
        addTotal(target, load);
        loads.emplace(target, load);
    }
}

std::set<std::string> LoadLedger::takeChangedTargets()
{
    return std::exchange(m_changedTargets, {});
}

void LoadLedger::removePeer(const std::string& instance)
{
    auto found = m_peerLoads.find(instance);
    if (found == m_peerLoads.end())
        return;
    for (const auto& [target, load] : found->second)
        subtractTotal(target, load);
    m_peerLoads.erase(found);
}

TargetLoad LoadLedger::localLoad(const std::string& target) const
{
    auto found = m_localLoads.find(target);
    return found == m_localLoads.end() ? TargetLoad {} : found->second;
}

TargetLoad LoadLedger::totalLoad(const std::string& target) const
{
    auto found = m_totalLoads.find(target);
    return found == m_totalLoads.end() ? TargetLoad {} : found->second;
}

}
