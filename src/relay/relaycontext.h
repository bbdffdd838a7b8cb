#pragma once

#include "dispatch/dispatcher.h"
#include "dispatch/outputestimator.h"
#include "dispatch/retrybudget.h"
#include "fleet/fleetview.h"
#include "net/httpexchange.h"
#include "placement/placementclient.h"
#include "quarantine/crashguard.h"
#include "relay/livestream.h"
#include "relay/relaymetrics.h"
#include "routing/activeconfiguration.h"
#include "usage/usageledger.h"

namespace guavaspan {

/// What the relays of one instance share.
struct RelayContext {
    asio::io_context& io;
    const IWireFormat& wire;
    ActiveConfiguration& gate;
    TargetDirectory& directory;
    Dispatcher& dispatcher;
    PlacementClient& placement;
    LiveStreams& streams;
    RetryBudget& retries;
    OutputEstimator& outputs;
    UsageLedger& usage;
    CrashGuard& crashes;
    FleetView& fleet;
    RelayMetrics& metrics;
    Random& random;
    /// Time from the order to stop until the process is ended.
    Milliseconds stopLimit;
    std::optional<TimePoint> stoppingSince;
    std::size_t inFlight = 0;
};

/// Tells when the caller of one request left, to whatever the request is doing then.
class CallerWatch {
public:
    explicit CallerWatch(HttpExchange&);
    ~CallerWatch();
    CallerWatch(const CallerWatch&) = delete;
    CallerWatch& operator=(const CallerWatch&) = delete;

    bool gone() const { return m_state->gone; }

    /// Replaces what is done when the caller leaves.
    void setCancelAction(std::function<void()> cancelAction) { m_state->cancelAction = std::move(cancelAction); }

private:
    struct State {
        bool gone = false;
        std::function<void()> cancelAction;
    };

    /// Shared with the exchange, which lives longer.
    std::shared_ptr<State> m_state;
};

/// One caller's request on its way.
struct RelayRequest {
    HttpExchange& exchange;
    CallerWatch& callerWatch;
    std::shared_ptr<const RouteTable> table;
    const Route& route;
    const ServiceInfo& service;
    CallerRequest caller;
    std::string organisation;
    int priority = 0;
    TimePoint arrivedAt;
    /// The answer is due by then: the caller's deadline or the route's timeout.
    TimePoint deadline;

    Rank rank() const { return { .priority = priority }; }
};

/// How a request ended, for logs and metrics.
struct RelayResult {
    unsigned status = 0;
    /// Stable word for the cause.
    std::string reason;
    std::string target;
    std::string detail;
    int sends = 0;
    std::int64_t events = 0;
    int moves = 0;
    Clock::duration waited {};
    Clock::duration firstEventDelay {};
    Clock::duration longestPause {};
};

/// Answers that the request has not run, with the time to come back after.
Awaitable<> sendRefusal(HttpExchange&, unsigned status, const std::string& reason, Clock::duration retryAfter);

/// Answers with a failure that promises nothing.
Awaitable<> sendFailure(HttpExchange&, unsigned status, const std::string& reason);

/// A target's answer without what concerns the connection to it.
HttpResponse withoutHopByHopHeaders(const http::response_header<>&);

Milliseconds timeLeft(const RelayRequest&);

}
