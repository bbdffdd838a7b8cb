#include "dispatch/loadledger.h"

#include <algorithm>
#include <utility>

namespace guavaspan {

namespace {

    /// Growth assumed for a generation that has outlived its estimate, in tokens: a few events.
    constexpr int growthBeyondEstimate = 64;

}

TargetLoad LoadLedger::loadOf(const Work& work)
{
    int output = work.estimate.outputTokens;
    if (output > 0)
        output = std::max(output, work.outputTokens + growthBeyondEstimate);
    bool unread = work.outputTokens == 0;
    return { .requests = 1, .tokens = static_cast<double>(work.estimate.promptTokens + output), .unreadPromptTokens = unread ? static_cast<double>(work.estimate.promptTokens) : 0 };
}

void LoadLedger::add(const Work& work, int sign)
{
    auto load = loadOf(work);
    auto& loads = work.forPeer ? m_forPeers : m_own;
    auto& sum = loads[work.target];
    sum.requests += sign * load.requests;
    sum.tokens += sign * load.tokens;
    sum.unreadPromptTokens += sign * load.unreadPromptTokens;
    if (!work.forPeer)
        m_changed.insert(work.target);
    if (sum.requests == 0)
        loads.erase(work.target);
}

void LoadLedger::begin(WorkId id, const std::string& target, const WorkEstimate& estimate)
{
    end(id);
    Work work { .target = target, .estimate = estimate };
    add(work, 1);
    m_works.emplace(id, std::move(work));
}

void LoadLedger::beginForPeer(WorkId id, const std::string& target, const WorkEstimate& estimate)
{
    end(id);
    Work work { .target = target, .estimate = estimate, .forPeer = true };
    add(work, 1);
    m_works.emplace(id, std::move(work));
}

void LoadLedger::produced(WorkId id, int outputTokens)
{
    auto found = m_works.find(id);
    if (found == m_works.end())
        return;
    add(found->second, -1);
    found->second.outputTokens = outputTokens;
    add(found->second, 1);
}

void LoadLedger::moved(WorkId id, const std::string& target)
{
    auto found = m_works.find(id);
    if (found == m_works.end())
        return;
    add(found->second, -1);
    found->second.target = target;
    add(found->second, 1);
}

void LoadLedger::end(WorkId id)
{
    auto found = m_works.find(id);
    if (found == m_works.end())
        return;
    add(found->second, -1);
    m_works.erase(found);
}

void LoadLedger::setPeer(const std::string& instance, TargetLoads loads)
{
    m_peers.insert_or_assign(instance, std::move(loads));
}

void LoadLedger::updatePeer(const std::string& instance, const TargetLoads& changed)
{
    auto& loads = m_peers[instance];
    for (const auto& [target, load] : changed) {
        if (load.requests > 0)
            loads.insert_or_assign(target, load);
        else
            loads.erase(target);
    }
}

std::set<std::string> LoadLedger::takeChanged()
{
    return std::exchange(m_changed, {});
}

void LoadLedger::dropPeer(const std::string& instance)
{
    m_peers.erase(instance);
}

TargetLoad LoadLedger::own(const std::string& target) const
{
    auto found = m_own.find(target);
    return found == m_own.end() ? TargetLoad {} : found->second;
}

TargetLoad LoadLedger::total(const std::string& target) const
{
    auto sum = own(target);
    auto granted = m_forPeers.find(target);
    if (granted != m_forPeers.end())
        sum += granted->second;
    for (const auto& [instance, loads] : m_peers) {
        auto found = loads.find(target);
        if (found != loads.end())
            sum += found->second;
    }
    return sum;
}

}
