#pragma once

#include "common/error.h"

#include <memory>
#include <string>

namespace guavaspan {

/// The instance's metrics; names carry their units.
class Metrics {
public:
    Metrics();
    ~Metrics();

    void countRequest(const std::string& organisation, const std::string& result);
    void firstToken(double seconds);
    void tokenGap(double seconds);
    void countDeliveredTokens(const std::string& organisation, int tokens);
    void countPreemption();
    void countResume();
    void countRestart();
    void countDroppedEvent(const std::string& reason);
    void addLiveStreams(int change);
    void setWaitingRequests(double);
    void setConfigurationRevision(double);
    void setConfigurationStaleness(double seconds);
    void members(double);
    void claim(const std::string& verdict);
    void countKeyValueCall(const std::string& kind);

    /// Text form for scraping.
    std::string serialize() const;

private:
    struct Families;
    std::unique_ptr<Families> m_families;
};

}
