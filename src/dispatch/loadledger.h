#pragma once

#include "dispatch/dispatchtypes.h"

#include <optional>
#include <unordered_map>

namespace guavaspan {

/// What this instance has at each target, exactly, and what its peers last said they have.
class LoadLedger {
public:
    void begin(WorkId, const std::string& target, const WorkEstimate&);
    void produced(WorkId, int outputTokens);
    void moved(WorkId, const std::string& target);
    void end(WorkId);

    void setPeer(const std::string& instance, TargetLoads);
    void dropPeer(const std::string& instance);

    TargetLoad own(const std::string& target) const;
    TargetLoad total(const std::string& target) const;
    const TargetLoads& ownLoads() const { return m_own; }
    const std::map<std::string, TargetLoads>& peers() const { return m_peers; }

private:
    struct Work {
        std::string target;
        WorkEstimate estimate;
        int outputTokens = 0;
    };

    static TargetLoad loadOf(const Work&);
    void add(const Work&, int sign);

    std::unordered_map<WorkId, Work> m_works;
    TargetLoads m_own;
    std::map<std::string, TargetLoads> m_peers;
};

}
