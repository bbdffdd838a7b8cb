#pragma once

#include "dispatch/dispatcher.h"
#include "dispatch/outputestimator.h"
#include "dispatch/retrybudget.h"
#include "fleet/fleetcensus.h"
#include "handover/itargetoperations.h"
#include "net/httpexchange.h"
#include "placement/placementclient.h"
#include "quarantine/crashguard.h"
#include "relay/livestream.h"
#include "relay/relaymetrics.h"
#include "relay/sendgate.h"
#include "relay/stopschedule.h"
#include "relay/targetconnection.h"
#include "routing/activeconfiguration.h"
#include "targets/targetlimits.h"
#include "usage/usageledger.h"

namespace guavaspan {

class ActiveRequests;

/// Parts and state of the instance that its relays share.
struct RelayContext {
    asio::io_context& io;
    const IWireFormat& wireFormat;
    ActiveConfiguration& configuration;
    TargetDirectory& directory;
    Dispatcher& dispatcher;
    PlacementClient& placement;
    ITargetOperations& operations;
    LiveStreams& streams;
    RetryBudget& retryBudget;
    OutputEstimator& outputEstimator;
    UsageLedger& usage;
    CrashGuard& crashGuard;
    PromptGuard& promptGuard;
    ITrials& trials;
    FleetCensus& census;
    const FleetView& fleet;
    std::string failureDomain;
    RelayMetrics& metrics;
    Random& random;
    TargetLimits& targetLimits;
    /// Handles a target's statement that it is shutting down.
    std::function<void(const TargetEntry&)> onTargetDraining;
    /// Time from the store's acknowledgement of a configuration until it must be in force.
    Milliseconds configurationTime { 2000 };
    /// Shared with the coroutines that relay them, which the io_context destroys after this object.
    std::shared_ptr<ActiveRequests> activeRequests;
    /// Set while the instance stops.
    std::optional<StopSchedule> stop;
    std::size_t inFlight = 0;
    std::uint64_t endedRequests = 0;
};

/// Detects that a request's caller disconnected and cancels the request's current operation.
class CallerWatch {
public:
    explicit CallerWatch(HttpExchange&);
    ~CallerWatch();
    CallerWatch(const CallerWatch&) = delete;
    CallerWatch& operator=(const CallerWatch&) = delete;

    bool gone() const { return m_state->gone; }

    /// Cancels the request's current operation, as if the caller had disconnected.
    void cancelOperation();

    /// Replaces the action that runs when the caller disconnects.
    void setCancelAction(std::function<void()> cancelAction) { m_state->cancelAction = std::move(cancelAction); }

private:
    struct State {
        bool gone = false;
        std::function<void()> cancelAction;
    };

    /// Shared with the exchange, which outlives this object.
    std::shared_ptr<State> m_state;
};

/// Targets are told the time that is left in this unit.
inline constexpr Milliseconds statedTimeResolution { 1 };

/// A caller's request while it is relayed.
struct RelayRequest {
    HttpExchange& exchange;
    CallerWatch& callerWatch;
    std::shared_ptr<const RouteTable> table;
    const Route& route;
    const ServiceInfo& service;
    CallerRequest caller;
    std::string organisation;
    int priority = 0;
    /// Hash that equal requests of an organisation share.
    Fingerprint fingerprint = 0;
    TimePoint arrivedAt;
    /// The earliest of the caller's deadline, the route's timeout and the general time limit.
    TimePoint deadline;
    /// The deadline is the end of this instance's stop, before the request's own.
    bool endsWithStop = false;
    /// The instance ends before the request does.
    bool cut = false;
    /// Charges what was delivered and is not charged yet; empty if the answer is charged as a whole.
    std::function<void()> chargeDelivered;

    Rank rank() const { return { .priority = priority }; }

    /// Ends the request when the instance stops, if it would end later.
    void endWithStop(TimePoint requestsEndAt);

    /// Targets may end the request earlier by the resolution of the time that they are told.
    bool isDeadlineReached(TimePoint now) const { return now + statedTimeResolution > deadline; }

    /// True once the stop of this instance has ended the request.
    bool endedByStop(TimePoint now) const { return cut || (endsWithStop && isDeadlineReached(now)); }
};

/// Reads the header of a target's answer. A refusal that belongs to another request does not say that this one has not run.
TargetResponseHead readResponseHead(const RelayContext&, const RelayRequest&, const TargetEntry&, const http::response_header<>&);

/// Reason of a request that a stop of this instance ended or refused.
inline constexpr const char* reasonStopping = "stopping";

/// How a request ended, for logs and metrics.
struct RelayResult {
    unsigned status = 0;
    /// Identifier of the outcome; a stable log value and metric label.
    std::string reason;
    std::string target;
    std::string detail;
    int sends = 0;
    std::int64_t events = 0;
    int moves = 0;
    Clock::duration waitTime {};
    Clock::duration firstEventDelay {};
    Clock::duration longestPause {};
};

/// Hash that equal requests of an organisation share, whichever of its keys they carry.
Fingerprint fingerprintOf(const std::string& organisation, const HttpRequest&);

/// Answers that the request has not run and after which time to retry it.
Awaitable<> sendRefusal(HttpExchange&, unsigned status, const std::string& reason, Clock::duration retryAfter);

/// Answers with an error; from status 500 it leaves open whether the request ran.
Awaitable<> sendFailure(HttpExchange&, unsigned status, const std::string& reason);

/// Copies the header of a target's answer without hop-by-hop headers.
HttpResponse withoutHopByHopHeaders(const http::response_header<>&);

/// A target's whole answer to the request as it is passed on. An answer to HEAD keeps the length that it states.
HttpResponse passedOnAnswer(const HttpRequest&, const http::response_header<>&, std::string body);

Milliseconds timeLeft(const RelayRequest&);

/// The gate that the request passes before each send.
SendGate makeSendGate(RelayContext&, const RelayRequest&);

/// Takes note of whether a connection to a target was established.
void recordConnection(RelayContext&, const RelayRequest&, const TargetEntry&, bool connected);

/// Takes note of how a body ended that only the end of its connection marks.
void recordBodyEnd(RelayContext&, const RelayRequest&, const TargetConnection&, const Result<std::string>& lastRead);

/// Takes note of a request that a stop ended before its own deadline.
void recordCut(RelayContext&, const RelayRequest&, TimePoint now);

/// Takes note of what a target's answer states about the target: its limit, or that it is shutting down.
void recordTargetState(RelayContext&, const TargetEntry&, const TargetResponseHead&);

}
