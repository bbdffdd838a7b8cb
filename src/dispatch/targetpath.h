#pragma once

#include "targets/targettypes.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace guavaspan {

/// Detects that this instance has lost its path to the targets of a service: new connections to several of them fail and none
/// succeeds in between. Connections that were open before may live on, so they prove nothing.
class TargetPath {
public:
    using Targets = std::vector<const TargetEntry*>;

    void onConnected(const TargetEntry&);
    void onConnectFailed(const TargetEntry&);

    /// False while all connections succeed; update() and targetsToProbe() then have nothing to do.
    bool inDoubt() const { return !m_failed.empty() || !m_lost.empty() || !m_regained.empty(); }

    /// Decides with the targets that are usable now; a target whose entry is removed has failed by itself. Returns the services whose
    /// result has changed.
    std::vector<std::string> update(const Targets& usable);

    /// True while all requests to targets of the service would fail; a connection that succeeds ends this at once.
    bool isLost(const std::string& service) const { return m_lost.contains(service); }
    const std::set<std::string>& lostServices() const { return m_lost; }

    /// Targets to which connections should be tried to learn whether a path is lost or has returned; empty if there is no doubt.
    Targets targetsToProbe(const Targets& usable) const;

private:
    bool hasFailed(const TargetEntry&) const;
    static std::map<std::string, Targets> byService(const Targets& usable);

    /// By service, addresses to which a connection failed since the last one that succeeded.
    std::map<std::string, std::set<std::string>> m_failed;
    std::set<std::string> m_lost;
    /// Services whose path was regained since the last update.
    std::set<std::string> m_regained;
};

}
