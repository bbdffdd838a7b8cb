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

    void requestEnded(const std::string& organisation, const std::string& result);
    void firstToken(double seconds);
    void tokenGap(double seconds);
    void tokensDelivered(const std::string& organisation, int tokens);
    void preemption();
    void resumed();
    void restarted();
    void eventDropped(const std::string& reason);
    void liveStreams(int change);
    void waitingRequests(double);
    void configurationRevision(double);
    void configurationStaleness(double seconds);
    void members(double);
    void claim(const std::string& verdict);
    void keyValueCall(const std::string& kind);

    /// Text form for scraping.
    std::string serialize() const;

private:
    struct Families;
    std::unique_ptr<Families> m_families;
};

}
