#pragma once

#include "dispatch/dispatchtypes.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace guavaspan {

/// A request that no target has room for yet.
struct WaitingRequest {
    WorkId id = 0;
    std::string service;
    std::string organisation;
    Rank rank;
    WorkEstimate estimate;
    TimePoint arrivedAt;
    /// Last moment at which a start is still of use.
    TimePoint latestStart;
};

/// The request may wait, or is refused with the time after which room is expected.
struct EnqueueResult {
    bool accepted = true;
    Clock::duration expectedWait {};
};

/// Orders requests that wait for room, brief ones and others apart: by rank, then organisations that have no more
/// than their share at the targets, then arrival, where expected length counts as later arrival. Refuses at once
/// what would wait too long.
class WaitingQueue {
public:
    EnqueueResult enqueue(WaitingRequest, TimePoint now);
    void remove(WorkId);

    /// The first request in order that can start now; it leaves the line.
    std::optional<WaitingRequest> takeNext(const std::function<bool(const WaitingRequest&)>& canStart);

    /// Requests whose latest start has passed; they leave the line.
    std::vector<WaitingRequest> takeExpired(TimePoint now);

    /// Work of an organisation started or ended at the targets.
    void onStarted(const std::string& service, const std::string& organisation, Rank, const WorkEstimate&, TimePoint now);
    void onEnded(const std::string& organisation, const WorkEstimate&);

    /// Time until those ahead of a newcomer have started, at the rate at which their like started lately.
    Clock::duration expectedWait(const WaitingRequest&, TimePoint now) const;
    std::size_t size() const { return m_waiting.size(); }

private:
    struct StartRecord {
        TimePoint at;
        Rank rank;
        bool isShort = false;
        int tokens = 0;
    };

    bool precedes(const WaitingRequest&, const WaitingRequest&) const;
    bool isAboveFairShare(const std::string& organisation) const;

    std::vector<WaitingRequest> m_waiting;
    std::map<std::string, double> m_tokensByOrganisation;
    /// Sum over organisations.
    double m_totalTokens = 0;
    std::map<std::string, std::deque<StartRecord>> m_recentStarts;
};

}
