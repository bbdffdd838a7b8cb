#pragma once

#include "dispatch/dispatchtypes.h"

#include <set>
#include <unordered_map>

namespace guavaspan {

/// What this instance has at each target, exactly, and what its peers last said they have.
class LoadLedger {
public:
    void begin(WorkId, const std::string& target, const WorkEstimate&);

    /// Work of a peer that its reports do not show yet. It counts here and is not reported.
    void beginForPeer(WorkId, const std::string& target, const WorkEstimate&);
    void setOutputTokens(WorkId, int outputTokens);
    void setTarget(WorkId, const std::string& target);
    void end(WorkId);

    void setPeerLoads(const std::string& instance, TargetLoads);
    /// Replaces what a peer has at some targets.
    void updatePeerLoads(const std::string& instance, const TargetLoads&);
    void removePeer(const std::string& instance);

    /// Targets whose own load changed since the last call.
    std::set<std::string> takeChangedTargets();

    TargetLoad localLoad(const std::string& target) const;
    TargetLoad totalLoad(const std::string& target) const;
    const TargetLoads& localLoads() const { return m_localLoads; }
    const std::map<std::string, TargetLoads>& peerLoads() const { return m_peerLoads; }

private:
    struct Work {
        std::string target;
        WorkEstimate estimate;
        int outputTokens = 0;
        bool forPeer = false;
    };

    static TargetLoad loadOf(const Work&);
    void add(const Work&);
    void subtract(const Work&);
    void addTotal(const std::string& target, const TargetLoad&);
    void subtractTotal(const std::string& target, const TargetLoad&);

    std::unordered_map<WorkId, Work> m_workById;
    TargetLoads m_localLoads;
    std::set<std::string> m_changedTargets;
    std::map<std::string, TargetLoads> m_peerLoads;
    /// Sum over this instance, work for peers, and peers; kept up to date since it is read most.
    TargetLoads m_totalLoads;
};

}
