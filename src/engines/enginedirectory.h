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
    void setLeaving(std::set<std::string> targets);

    std::shared_ptr<IEngine> engine(const std::string& name) const;
    std::vector<EngineInfo> enginesOf(const std::string& model) const;
    std::vector<std::string> models() const;
    bool isLeaving(const std::string& target) const { return m_leaving.contains(target); }
    const std::set<std::string>& leaving() const { return m_leaving; }

private:
    std::map<std::string, std::shared_ptr<IEngine>> m_engines;
    std::map<std::string, Target> m_targets;
    std::map<std::string, Model> m_models;
    std::set<std::string> m_leaving;
};

}
