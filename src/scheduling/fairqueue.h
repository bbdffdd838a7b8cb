#pragma once

#include "scheduling/schedulingtypes.h"

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace guavaspan {

/// A permit request with its time of arrival.
struct WaitingRequest {
    PermitRequest request;
    TimePoint since;
};

/// Orders waiting requests by the weighted tokens that their organisations have received.
class FairQueue {
public:
    void push(PermitRequest, TimePoint now);
    bool withdraw(const PermitId&);
    bool contains(const PermitId& id) const { return m_ids.contains(id); }

    /// Charges tokens as they are received.
    void charge(const std::string& organisation, double tokens);

    /// Tokens that an organisation's running generations will soon receive.
    void setForeseen(const std::string& organisation, double tokens);
    void addForeseen(const std::string& organisation, double tokens);

    /// Marks that a generation of this organisation started or ended.
    void onStarted(const std::string& organisation);
    void onEnded(const std::string& organisation);

    /// Organisations with waiting requests, the furthest below its share first.
    std::vector<std::string> order() const;
    const WaitingRequest& front(const std::string& organisation) const;
    WaitingRequest pop(const std::string& organisation);

    /// Removes the newest request of the organisation that holds most of the queue for its weight.
    std::optional<WaitingRequest> shed();
    std::vector<WaitingRequest> takeExpired(TimePoint now);

    std::size_t size() const { return m_size; }
    std::size_t waitingOf(const std::string& organisation) const;

    /// Share of running service against the due share among active organisations; above 1 is above share.
    double shareRatio(const std::string& organisation) const;
    std::size_t activeOrganisations() const { return m_active.size(); }
    double virtualTime(const std::string& organisation) const;

private:
    struct Organisation {
        double weight = 1;
        double charged = 0;
        double foreseen = 0;
        int running = 0;
        std::deque<WaitingRequest> interactive;
        std::deque<WaitingRequest> batch;

        bool hasWaiting() const { return !interactive.empty() || !batch.empty(); }
        bool active() const { return hasWaiting() || running > 0; }
        double projected() const { return charged + foreseen / weight; }
        std::deque<WaitingRequest>& frontQueue() { return interactive.empty() ? batch : interactive; }
        const std::deque<WaitingRequest>& frontQueue() const { return interactive.empty() ? batch : interactive; }
    };

    Organisation& activate(const std::string& organisation, double weight);
    void deactivateIfIdle(const std::string& organisation);

    std::unordered_map<std::string, Organisation> m_organisations;
    std::set<std::string> m_active;
    std::unordered_set<PermitId> m_ids;
    double m_virtualTime = 0;
    std::size_t m_size = 0;
};

}
