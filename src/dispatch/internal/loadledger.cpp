#include "dispatch/loadledger.h"

#include <algorithm>
#include <utility>

namespace guavaspan {

namespace {

    /// Part of its remaining growth that a generation is counted with. The generations of an engine
    /// are at different points of their lives, so not all of them are at their largest at once.
    constexpr double expectedGrowthShare = 0.7;
    /// What a generation is expected to grow to, as a multiple of what it has: lengths vary over
    /// orders of magnitude, so the longer one runs the longer it is likely to run on.
    constexpr double expectedOverMade = 1.35;
    /// Added to it, in tokens: a few events.
    constexpr int leastGrowth = 32;

}

TargetLoad LoadLedger::loadOf(const Work& work)
{
    double output = work.estimate.outputTokens;
    if (output > 0 && work.outputTokens > 0)
        output = std::max(output, expectedOverMade * work.outputTokens + leastGrowth);
    bool unread = work.outputTokens == 0;
    double growth = expectedGrowthShare * std::max(0.0, output - work.outputTokens);
    return { .requests = 1, .tokens = work.estimate.promptTokens + work.estimate.copiedTokens + work.outputTokens + growth, .unreadPromptTokens = unread ? static_cast<double>(work.estimate.promptTokens) : 0 };
}

void LoadLedger::addTotal(const std::string& target, const TargetLoad& load)
{
    m_total[target] += load;
}

void LoadLedger::subtractTotal(const std::string& target, const TargetLoad& load)
{
    auto total = m_total.find(target);
    total->second -= load;
    if (total->second.requests == 0)
        m_total.erase(total);
}

void LoadLedger::add(const Work& work)
{
    auto load = loadOf(work);
    addTotal(work.target, load);
    if (work.forPeer)
        return;
    m_own[work.target] += load;
    m_changed.insert(work.target);
}

void LoadLedger::subtract(const Work& work)
{
    auto load = loadOf(work);
    subtractTotal(work.target, load);
    if (work.forPeer)
        return;
    auto own = m_own.find(work.target);
    own->second -= load;
    if (own->second.requests == 0)
        m_own.erase(own);
    m_changed.insert(work.target);
}

void LoadLedger::begin(WorkId id, const std::string& target, const WorkEstimate& estimate)
{
    end(id);
    Work work { .target = target, .estimate = estimate };
    add(work);
    m_works.emplace(id, std::move(work));
}

void LoadLedger::beginForPeer(WorkId id, const std::string& target, const WorkEstimate& estimate)
{
    end(id);
    Work work { .target = target, .estimate = estimate, .forPeer = true };
    add(work);
    m_works.emplace(id, std::move(work));
}

void LoadLedger::produced(WorkId id, int outputTokens)
{
    auto found = m_works.find(id);
    if (found == m_works.end())
        return;
    subtract(found->second);
    found->second.outputTokens = outputTokens;
    add(found->second);
}

void LoadLedger::moved(WorkId id, const std::string& target)
{
    auto found = m_works.find(id);
    if (found == m_works.end())
        return;
    subtract(found->second);
    found->second.target = target;
    add(found->second);
}

void LoadLedger::end(WorkId id)
{
    auto found = m_works.find(id);
    if (found == m_works.end())
        return;
    subtract(found->second);
    m_works.erase(found);
}

void LoadLedger::setPeer(const std::string& instance, TargetLoads loads)
{
    dropPeer(instance);
    for (const auto& [target, load] : loads)
        addTotal(target, load);
    m_peers.insert_or_assign(instance, std::move(loads));
}

void LoadLedger::updatePeer(const std::string& instance, const TargetLoads& changed)
{
    auto& loads = m_peers[instance];
    for (const auto& [target, load] : changed) {
        auto known = loads.find(target);
        if (known != loads.end()) {
            subtractTotal(target, known->second);
            loads.erase(known);
        }
        if (load.requests <= 0)
            continue;
        addTotal(target, load);
        loads.emplace(target, load);
    }
}

std::set<std::string> LoadLedger::takeChanged()
{
    return std::exchange(m_changed, {});
}

void LoadLedger::dropPeer(const std::string& instance)
{
    auto found = m_peers.find(instance);
    if (found == m_peers.end())
        return;
    for (const auto& [target, load] : found->second)
        subtractTotal(target, load);
    m_peers.erase(found);
}

TargetLoad LoadLedger::own(const std::string& target) const
{
    auto found = m_own.find(target);
    return found == m_own.end() ? TargetLoad {} : found->second;
}

TargetLoad LoadLedger::total(const std::string& target) const
{
    auto found = m_total.find(target);
    return found == m_total.end() ? TargetLoad {} : found->second;
}

}
