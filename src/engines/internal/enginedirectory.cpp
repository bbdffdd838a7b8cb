#include "engines/enginedirectory.h"

#include "engines/httpengine.h"

namespace guavaspan {

void EngineDirectory::setConfiguration(const Configuration& configuration)
{
    std::map<std::string, std::shared_ptr<IEngine>> engines;
    for (const auto& [name, target] : configuration.targets) {
        auto existing = m_targets.find(name);
        bool sameEndpoint = existing != m_targets.end() && existing->second.endpoint == target.endpoint;
        engines[name] = sameEndpoint ? m_engines[name] : std::make_shared<HttpEngine>(name, target.endpoint);
    }
    m_engines = std::move(engines);
    m_targets = configuration.targets;
    m_models = configuration.models;
}

void EngineDirectory::setDraining(std::set<std::string> targets)
{
    m_draining = std::move(targets);
}

std::shared_ptr<IEngine> EngineDirectory::engine(const std::string& name) const
{
    auto found = m_engines.find(name);
    return found == m_engines.end() ? nullptr : found->second;
}

std::vector<EngineInfo> EngineDirectory::enginesForModel(const std::string& model) const
{
    std::vector<EngineInfo> infos;
    auto found = m_models.find(model);
    if (found == m_models.end())
        return infos;
    for (const auto& name : found->second.targets) {
        auto target = m_targets.find(name);
        if (target == m_targets.end())
            continue;
        infos.push_back({ .name = name, .failureDomain = target->second.failureDomain, .accepting = !isDraining(name), .honoursPriorities = target->second.honoursPriorities });
    }
    return infos;
}

std::vector<std::string> EngineDirectory::models() const
{
    std::vector<std::string> names;
    for (const auto& [name, model] : m_models)
        names.push_back(name);
    return names;
}

}
