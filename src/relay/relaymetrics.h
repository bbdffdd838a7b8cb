#pragma once

#include "net/memorybudget.h"
#include "relay/handoverservice.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace guavaspan {

/// Values that are sampled when metrics are scraped.
struct RelayGauges {
    double liveStreams = 0;
    double waitingRequests = 0;
    double configurationVersion = 0;
    double configurationAgeSeconds = 0;
    double peers = 0;
    double targets = 0;
    double storeCalls = 0;
    double storeEra = 0;
    double storeRevision = 0;
    double storeRestorations = 0;
    double rejectedStoreListings = 0;
    double olderStoreEntries = 0;
    double limitedTargets = 0;
    /// Targets that are limited because they are cold.
    double coldTargets = 0;
    double droppedLogLines = 0;
    /// Exceptions that ended a connection or another part of the work.
    double failedHandlers = 0;
    double interruptedAnswers = 0;
    double countedCrashes = 0;
    double uncountedCrashes = 0;
    double retrySharers = 0;
    double convictedPromptParts = 0;
    double unreachableServices = 0;
    /// Instances that take their summaries from this one.
    double summarisedInstances = 0;
    /// Instances that do not respond, as far as this one knows.
    double silentInstances = 0;
    /// Targets that are slower than those of their service usually are, as far as this instance knows.
    double slowTargets = 0;
};

/// Counters and histograms of the entry service.
class RelayMetrics : public IHandoverObserver {
public:
    RelayMetrics();
    ~RelayMetrics() override;

    void recordRequest(const std::string& route, const std::string& result, double seconds);
    void recordCutRequest(const std::string& route);
    void recordFirstEvent(const std::string& route, double seconds);
    void recordPause(double seconds);
    /// A pause of a stream was longer than its route's objective; `slowTarget` if its engine is slower than usual.
    void recordLongPause(const std::string& route, bool slowTarget);
    void recordRetry(const std::string& service, const std::string& cause, bool allowed);
    void recordWait(double seconds);
    /// Outcome of a generation's admission: at_once, waited or refused.
    void recordAdmission(const std::string& route, const std::string& organisation, const std::string& outcome);
    void recordResume(const std::string& result);
    void recordUnframedAnswer(const std::string& end);
    void recordStreamEnd(const std::string& runState);
    void recordUnusableGrant(const std::string& reason);
    /// Bytes sent to other instances since the start, by kind of message.
    void setFleetBytesSent(const std::map<std::string_view, std::uint64_t>&);
    void onHandoverStep(HandoverPhase, HandoverResult) override;
    void setGauges(const RelayGauges&);
    void setEvacuatedDomains(const std::set<std::string>&);
    void setMemory(const MemoryBudget&);

    /// Returns the metrics in the Prometheus text format.
    std::string serialize() const;

private:
    struct Families;
    std::unique_ptr<Families> m_families;
};

}
