#pragma once

#include "common/error.h"

#include <memory>
#include <string>

namespace guavaspan {

/// The instance's Prometheus metrics; metric names contain their units.
class Metrics {
public:
    Metrics();
    ~Metrics();

    void countRequest(const std::string& organisation, const std::string& result);
    void observeFirstToken(double seconds);
    void observeTokenGap(double seconds);
    void countDeliveredTokens(const std::string& organisation, int tokens);
    void countPreemption();
    void countResume();
    void countRestart();
    void countDroppedEvent(const std::string& reason);
    void addLiveStreams(int change);
    void setWaitingRequests(double);
    void setConfigurationRevision(double);
    void setConfigurationStaleness(double seconds);
    void setLiveMembers(double);
    void countClaim(const std::string& verdict);
    void countKeyValueCall(const std::string& callType);

    /// Returns all metrics in the Prometheus text format.
    std::string serialize() const;

private:
    struct Families;
    std::unique_ptr<Families> m_families;
};

}
