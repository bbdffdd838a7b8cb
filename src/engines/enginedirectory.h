#pragma once

#include "configuration/configurationtypes.h"
#include "engines/iengine.h"

#include <map>
#include <set>

namespace guavaspan {

/// The targets in force, with those that are leaving.
class EngineDirectory {
public:
    void setConfiguration(const Configuration&);
    void setDraining(std::set<std::string> targets);

    std::shared_ptr<IEngine> engine(const std::string& name) const;
    std::vector<EngineInfo> enginesForModel(const std::string& model) const;
    std::vector<std::string> models() const;
    bool isDraining(const std::string& target) const { return m_draining.contains(target); }
    const std::set<std::string>& drainingTargets() const { return m_draining; }

private:
    std::map<std::string, std::shared_ptr<IEngine>> m_engines;
    std::map<std::string, Target> m_targets;
    std::map<std::string, Model> m_models;
    std::set<std::string> m_draining;
};

}
