#pragma once

#include "dispatch/dispatchtypes.h"
#include "dispatch/organisationuse.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace guavaspan {

/// A request that waits until a target has capacity.
struct WaitingRequest {
    WorkId id = 0;
    std::string service;
    std::string organisation;
    Rank rank;
    WorkEstimate estimate;
    TimePoint arrivedAt;
    /// Latest time at which starting the request is still useful.
    TimePoint latestStart;
};

/// Whether the request may wait, and the time after which capacity is expected.
struct EnqueueResult {
    bool accepted = true;
    Clock::duration expectedWait {};
};

/// Orders waiting requests by rank, then those of organisations within their fair share first, then by arrival time
/// plus a delay for the expected output length. Short requests are queued apart from the others. A request that
/// would wait too long is refused at once.
class WaitingQueue {
public:
    EnqueueResult enqueue(WaitingRequest, TimePoint now);
    void remove(WorkId);

    /// Removes and returns the first request in order that can start now.
    std::optional<WaitingRequest> takeNext(const std::function<bool(const WaitingRequest&)>& canStart);

    /// Removes and returns the requests whose latest start has passed.
    std::vector<WaitingRequest> takeExpired(TimePoint now);

    /// Records that work of an organisation started on a target.
    void onStarted(const std::string& service, const std::string& organisation, Rank, const WorkEstimate&, TimePoint now);

    /// Time until the requests ahead have started, at the recent start rate of their class and rank.
    Clock::duration expectedWait(const WaitingRequest&, TimePoint now) const;
    /// Time between two starts of short or of other requests lately; zero if there were none.
    Clock::duration startInterval(const std::string& service, bool isShort, TimePoint now) const;
    std::size_t size() const { return m_waiting.size(); }

private:
    struct StartRecord {
        TimePoint at;
        Rank rank;
        bool isShort = false;
        int tokens = 0;
    };

    bool precedes(const WaitingRequest&, const WaitingRequest&) const;

    std::vector<WaitingRequest> m_waiting;
    OrganisationUse m_use;
    std::map<std::string, std::deque<StartRecord>> m_recentStarts;
};

}
