#include "dispatch/targetpath.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Fewer failures are the targets' own, for example of a failure domain.
    constexpr std::size_t failuresToLose = 4;
    /// Each probe is a billed connection, and a single target that fails is common.
    constexpr std::size_t probesAfterOneFailure = 2;
    constexpr std::size_t maxProbes = 4;

}

void TargetPath::onConnected(const TargetEntry& target)
{
    m_failed.erase(target.service);
    if (m_lost.erase(target.service) > 0)
        m_regained.insert(target.service);
}

void TargetPath::onConnectFailed(const TargetEntry& target)
{
    m_failed[target.service].insert(toString(target.endpoint));
}

bool TargetPath::hasFailed(const TargetEntry& target) const
{
    auto failed = m_failed.find(target.service);
    return failed != m_failed.end() && failed->second.contains(toString(target.endpoint));
}

std::map<std::string, TargetPath::Targets> TargetPath::byService(const Targets& usable)
{
    std::map<std::string, Targets> targets;
    for (const auto* target : usable)
        targets[target->service].push_back(target);
    return targets;
}

std::vector<std::string> TargetPath::update(const Targets& usable)
{
    std::vector<std::string> changed(m_regained.begin(), m_regained.end());
    m_regained.clear();
    for (const auto& [service, targets] : byService(usable)) {
        auto failures = static_cast<std::size_t>(std::count_if(targets.begin(), targets.end(), [&](const auto* target) { return hasFailed(*target); }));
        bool lost = failures > 0 && failures >= std::min(failuresToLose, targets.size());
        if (lost && m_lost.insert(service).second && std::find(changed.begin(), changed.end(), service) == changed.end())
            changed.push_back(service);
    }
    return changed;
}

TargetPath::Targets TargetPath::targetsToProbe(const Targets& usable) const
{
    Targets probes;
    for (auto [service, targets] : byService(usable)) {
        // Targets that have not failed decide, among them those that are new.
        auto firstFailed = std::stable_partition(targets.begin(), targets.end(), [&](const auto* target) { return !hasFailed(*target); });
        auto failures = static_cast<std::size_t>(targets.end() - firstFailed);
        // A partition mostly affects all services, and some get few requests.
        bool inDoubt = failures > 0 || !m_lost.empty();
        if (!inDoubt)
            continue;
        auto count = failures == 0 || isLost(service) ? std::size_t(1) : (failures == 1 ? probesAfterOneFailure : maxProbes);
        probes.insert(probes.end(), targets.begin(), targets.begin() + static_cast<std::ptrdiff_t>(std::min(count, targets.size())));
    }
    return probes;
}

}
