#pragma once

#include "common/random.h"
#include "dispatch/loadledger.h"
#include "dispatch/outcometracker.h"
#include "dispatch/refusalhistory.h"
#include "dispatch/saturationtracker.h"
#include "dispatch/targetselector.h"
#include "dispatch/waitingqueue.h"
#include "net/nettypes.h"
#include "placement/placementtypes.h"
#include "targets/targetdirectory.h"

#include <unordered_map>

namespace guavaspan {

/// Gives each request a target, at once or when one has room.
class Dispatcher {
public:
    Dispatcher(asio::io_context&, TargetDirectory&, std::string failureDomain, Random);

    /// Waits for room until the request's latest start.
    Awaitable<PlacementOutcome> place(PlacementRequest);

    /// The same for a peer, whose reports will show the work once it has begun.
    Awaitable<PlacementOutcome> placeForPeer(PlacementRequest);

    /// A peer's reports show this work now.
    void onReportedByPeer(WorkId id) { m_ledger.end(id); }

    /// Work that an owner gave a target to begins here.
    void onGrantedByOwner(const PlacementRequest&, const std::string& target);

    /// Ends the wait of a request whose caller left.
    void cancel(WorkId);

    void setOutputTokens(WorkId id, int outputTokens) { m_ledger.setOutputTokens(id, outputTokens); }
    void setTarget(WorkId id, const std::string& target) { m_ledger.setTarget(id, target); }
    void ended(WorkId);

    /// Memory kept for a copy at a destination; ends like a request.
    void reserve(WorkId, const std::string& target, const WorkEstimate&);

    /// Something changed that may let waiting requests start.
    void placeWaiting();

    /// Time after which a refused request should come back.
    Clock::duration retryAfter(const std::string& service, const std::string& organisation, Rank, const WorkEstimate&);

    /// Destination of a move out of an engine.
    std::optional<std::string> chooseDestination(const TargetEntry& source, const EngineTraits&, const WorkEstimate&, const std::set<std::string>& excluded);

    WorkId nextId() { return ++m_lastId; }
    LoadLedger& ledger() { return m_ledger; }
    OutcomeTracker& outcomes() { return m_outcomes; }
    std::size_t waiting() const { return m_queue.size(); }

private:
    struct Waiter {
        explicit Waiter(asio::io_context& io)
            : wakeUp(io)
        {
        }
        asio::steady_timer wakeUp;
        bool forPeer = false;
        std::optional<TargetChoice> choice;
        bool cancelled = false;
    };
    struct RunningWork {
        std::string organisation;
        WorkEstimate estimate;
    };

    std::optional<TargetChoice> chooseTarget(const PlacementRequest&);
    void start(const PlacementRequest&, const std::string& target, bool forPeer);
    static void deductEarlierWait(PlacementRequest&, TimePoint firstAttemptAt, TimePoint now);
    Awaitable<PlacementOutcome> placeOrEnqueue(PlacementRequest, bool forPeer);
    PlacementOutcome makePlacement(const PlacementRequest&, const TargetChoice&, Clock::duration waited);
    PlacementRefusal makeRefusal(const PlacementRequest&, RefusalCause, std::string detail);

    asio::io_context& m_io;
    TargetDirectory& m_directory;
    std::string m_failureDomain;
    Random m_random;
    LoadLedger m_ledger;
    OutcomeTracker m_outcomes;
    WaitingQueue m_queue;
    RefusalHistory m_refusals;
    std::unordered_map<WorkId, PlacementRequest> m_requests;
    std::unordered_map<WorkId, std::shared_ptr<Waiter>> m_waiters;
    std::unordered_map<WorkId, RunningWork> m_running;
    SaturationTracker m_saturation;
    WorkId m_lastId = 0;
};

}
