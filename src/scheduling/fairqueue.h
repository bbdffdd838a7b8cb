#pragma once

#include "scheduling/schedulingtypes.h"

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace guavaspan {

/// A permit request with the time at which it was queued.
struct WaitingPermitRequest {
    PermitRequest request;
    TimePoint enqueuedAt;
};

/// Weighted fair queue: orders waiting requests by the weighted tokens that their organisations have used.
class FairQueue {
public:
    void push(PermitRequest, TimePoint now);
    bool withdraw(const PermitId&);
    bool contains(const PermitId& id) const { return m_ids.contains(id); }

    /// Adds produced tokens to the organisation's usage.
    void charge(const std::string& organisation, double tokens);

    /// Sets the number of tokens that an organisation's running generations are expected to produce soon.
    void setExpectedTokens(const std::string& organisation, double tokens);
    void addExpectedTokens(const std::string& organisation, double tokens);

    /// Records that a generation of this organisation started or ended.
    void onStarted(const std::string& organisation);
    void onEnded(const std::string& organisation);

    /// Organisations with waiting requests, the one furthest below its share first.
    std::vector<std::string> organisationsByShare() const;
    const WaitingPermitRequest& front(const std::string& organisation) const;
    WaitingPermitRequest pop(const std::string& organisation);

    /// Removes the newest request of the organisation with the most waiting requests relative to its weight.
    std::optional<WaitingPermitRequest> shed();
    std::vector<WaitingPermitRequest> takeExpired(TimePoint now);

    std::size_t size() const { return m_size; }
    std::size_t waitingCount(const std::string& organisation) const;

    /// Fraction of the running generations that are the organisation's, divided by its fair share by weight; above 1 is above its share.
    double shareRatio(const std::string& organisation) const;
    std::size_t activeOrganisationCount() const { return m_activeOrganisations.size(); }
    double virtualTime(const std::string& organisation) const;

private:
    struct Organisation {
        double weight = 1;
        double weightedTokens = 0;
        double expectedTokens = 0;
        int running = 0;
        std::deque<WaitingPermitRequest> interactive;
        std::deque<WaitingPermitRequest> batch;

        bool hasWaiting() const { return !interactive.empty() || !batch.empty(); }
        bool active() const { return hasWaiting() || running > 0; }
        double projectedWeightedTokens() const { return weightedTokens + expectedTokens / weight; }
        std::deque<WaitingPermitRequest>& frontQueue() { return interactive.empty() ? batch : interactive; }
        const std::deque<WaitingPermitRequest>& frontQueue() const { return interactive.empty() ? batch : interactive; }
    };

    Organisation& activate(const std::string& organisation, double weight);
    void deactivateIfIdle(const std::string& organisation);

    std::unordered_map<std::string, Organisation> m_organisations;
    std::set<std::string> m_activeOrganisations;
    std::unordered_set<PermitId> m_ids;
    double m_virtualTime = 0;
    std::size_t m_size = 0;
};

}
