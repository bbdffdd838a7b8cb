#pragma once

#include "common/random.h"
#include "dispatch/keptprompts.h"
#include "dispatch/loadledger.h"
#include "dispatch/memoryreserve.h"
#include "dispatch/outcometracker.h"
#include "dispatch/pacetracker.h"
#include "dispatch/refusalhistory.h"
#include "dispatch/relativepaces.h"
#include "dispatch/returnschedule.h"
#include "dispatch/saturationtracker.h"
#include "dispatch/targetpath.h"
#include "dispatch/targetselector.h"
#include "dispatch/waitingqueue.h"
#include "net/nettypes.h"
#include "placement/placementtypes.h"
#include "targets/brittleservices.h"
#include "targets/targetdirectory.h"
#include "targets/targetlimits.h"

#include <unordered_map>

namespace guavaspan {

/// Places requests on targets, at once or after waiting in a queue until a target has capacity.
class Dispatcher {
public:
    Dispatcher(asio::io_context&, TargetDirectory&, std::string failureDomain, Random);

    /// Places a request; waits for capacity until its latest start.
    Awaitable<PlacementOutcome> place(PlacementRequest);

    /// Places a request of a peer and counts its load on this instance until the peer's load reports include it.
    Awaitable<PlacementOutcome> placeForPeer(PlacementRequest);

    /// Limits that targets of pools have; without them a pool's targets take any number of requests.
    void setPlacementLimits(TargetLimits& limits) { m_limits = &limits; }

    /// A peer's load reports now include this work.
    void onReportedByPeer(WorkId id) { m_ledger.end(id); }

    /// Accounts for a local request that the pool's owner placed on a target.
    void onGrantedByOwner(const PlacementRequest&, const std::string& target);

    /// Cancels the wait of a request, as when its caller disconnected.
    void cancel(WorkId);

    void setOutputTokens(WorkId id, int outputTokens) { m_ledger.setOutputTokens(id, outputTokens); }
    void setTarget(WorkId id, const std::string& target) { m_ledger.setTarget(id, target); }
    /// Releases the reservation of work that ended or never started.
    void release(WorkId);

    /// A generation of a peer moves to this target.
    void onMoveGranted(WorkId, const std::string& target, const WorkEstimate&);

    /// Reserves memory for a copy on a destination until release() is called.
    void reserve(WorkId, const std::string& target, const WorkEstimate&);

    /// Places the waiting requests that can start now; called whenever capacity may have changed.
    void placeWaiting();

    /// Targets came, left or were evacuated: places the waiting requests again, and refuses those whose targets are all evacuated.
    void onTargetsChanged();

    /// Time after which the caller of a refused request should retry.
    Clock::duration retryAfter(const std::string& service, const std::string& organisation, Rank, const WorkEstimate&);

    /// The retry delay to advise for an expected wait: not too short, and with jitter, so that refused callers do
    /// not return together.
    Clock::duration jitteredRetryDelay(Clock::duration expectedWait);

    /// The retry delay while all targets of a service are evacuated.
    Clock::duration retryAfterEvacuation();

    /// Chooses the engine to which a generation moves from a draining engine.
    std::optional<std::string> chooseDestination(const TargetEntry& source, const EngineTraits&, const WorkEstimate&, const std::set<std::string>& excluded);

    /// Sets the memory of the generations that wait to move between a service's engines; new requests leave room for them.
    void setMovingTokens(const std::string& service, double tokens);

    /// A destination refused to take a generation of this size for lack of memory.
    void onDestinationFull(const std::string& target, const EngineTraits&, int tokensHeld, TimePoint now);

    WorkId nextId() { return ++m_lastId; }
    LoadLedger& ledger() { return m_ledger; }
    OutcomeTracker& outcomes() { return m_outcomes; }
    PaceTracker& paces() { return m_paces; }
    /// Targets of a service that are slower than usual, as far as this instance knows.
    std::set<std::string> slowTargets(const std::string& service, PaceKind) const;
    KeptPrompts& keptPrompts() { return m_keptPrompts; }
    /// Discards the outcomes of a service's targets: what fails while the path to them is lost is not their fault.
    void forgetOutcomes(const std::string& service);
    BrittleServices& brittleServices() { return m_brittleServices; }
    TargetPath& targetPath() { return m_targetPath; }
    std::size_t waitingCount() const { return m_queue.size(); }

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
        bool evacuated = false;
    };
    std::optional<TargetChoice> chooseTarget(const PlacementRequest&);
    MemoryAdmission admissionFor(const PlacementRequest&, std::size_t usableEngines, TimePoint now);
    std::set<std::string> excludedTargets(const PlacementRequest&, const std::vector<const TargetEntry*>& candidates) const;
    void onPlaced(const std::string& target);
    void start(const PlacementRequest&, const std::string& target, bool forPeer);
    static void deductEarlierWait(PlacementRequest&, TimePoint firstAttemptAt, TimePoint now);
    Awaitable<PlacementOutcome> placeOrEnqueue(PlacementRequest, bool forPeer);
    PlacementOutcome makePlacement(const PlacementRequest&, const TargetChoice&, Clock::duration waited);
    PlacementRefusal makeRefusal(const PlacementRequest&, std::string detail, TimePoint firstAttemptAt);
    Clock::duration expectedRetryDelay(const std::string& service, const std::string& organisation, Rank, const WorkEstimate&);
    PlacementRefusal makeEvacuationRefusal();
    void refuseEvacuated();

    asio::io_context& m_io;
    TargetDirectory& m_directory;
    std::string m_failureDomain;
    Random m_random;
    LoadLedger m_ledger;
    OutcomeTracker m_outcomes;
    PaceTracker m_paces;
    KeptPrompts m_keptPrompts;
    TargetPath m_targetPath;
    BrittleServices m_brittleServices;
    TargetLimits* m_limits = nullptr;
    WaitingQueue m_queue;
    RefusalHistory m_refusals;
    ReturnSchedule m_returns;
    std::unordered_map<WorkId, PlacementRequest> m_requests;
    std::unordered_map<WorkId, std::shared_ptr<Waiter>> m_waiters;
    SaturationTracker m_saturation;
    MemoryReserve m_reserve;
    std::map<std::string, double> m_movingTokens;
    WorkId m_lastId = 0;
};

}
