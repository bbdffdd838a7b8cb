#pragma once

#include "dispatch/dispatchtypes.h"

#include <set>
#include <unordered_map>

namespace guavaspan {

/// Tracks the load on each target: this instance's exactly, the peers' from their last reports.
class LoadLedger {
public:
    void begin(WorkId, const std::string& target, const WorkEstimate&);

    /// Adds work of a peer that its reports do not include yet. It counts towards the total load only.
    void beginForPeer(WorkId, const std::string& target, const WorkEstimate&);
    void setOutputTokens(WorkId, int outputTokens);
    void setTarget(WorkId, const std::string& target);
    void end(WorkId);

    void setPeerLoads(const std::string& instance, TargetLoads);
    /// Replaces a peer's load on the given targets; those with no requests are removed.
    void updatePeerLoads(const std::string& instance, const TargetLoads&);
    void removePeer(const std::string& instance);

    bool hasChangedTargets() const { return !m_changedTargets.empty(); }
    /// Returns the targets whose local load changed since the last call.
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
    /// Sum of local, granted and reported load; kept up to date because it is read most often.
    TargetLoads m_totalLoads;
};

}
