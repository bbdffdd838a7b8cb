#include "entry/instancestop.h"

#include "common/log.h"
#include "common/stopsignals.h"
#include "entry/drain.h"
#include "net/eventloop.h"
#include "usage/usagehandover.h"

#include <algorithm>
#include <csignal>

namespace guavaspan {

namespace {

    /// Time until the load balancer stops sending requests: it polls readiness once a second
    /// and removes an instance after two failed polls.
    constexpr auto balancerDetectionTime = Milliseconds(3200);
    /// A process whose processor time is used up handles its signals late.
    constexpr auto maxSignalDelay = Milliseconds(350);

    std::int64_t milliseconds(BootClock::duration duration)
    {
        return std::chrono::duration_cast<Milliseconds>(duration).count();
    }

}

InstanceStop::InstanceStop(InstanceStopContext context, Milliseconds limit)
    : m_context(std::move(context))
    , m_limit(limit)
    , m_signals(m_context.io, SIGTERM, SIGINT)
    , m_receiver(maxSignalDelay)
{
}

void InstanceStop::setLimit(Milliseconds limit)
{
    m_limit = limit;
    auto& schedule = m_context.relayContext.stop;
    if (schedule)
        schedule = schedule->withLimit(limit);
}

void InstanceStop::takeSignal(std::optional<int> handledSignal)
{
    if (auto signal = m_receiver.take(handledSignal))
        begin(*signal);
}

/// The host's time runs from its signal, which waits until a process that stands still runs again. The settings may have changed without
/// a signal, or with one that is not handled yet.
void InstanceStop::begin(const StopSignal& signal)
{
    m_context.reloadSettings();
    auto& relayContext = m_context.relayContext;
    relayContext.stop = StopSchedule({ .signalledAt = signal.arrivedAt, .maxSignalAge = signal.maxAge, .stopLimit = m_limit, .balancerDetectionTime = balancerDetectionTime, .maxSignalDelay = maxSignalDelay });
    relayContext.activeRequests->endWithStop(toSteadyTime(relayContext.stop->requestsEndAt()));
    m_context.registration.stop();
    auto connections = m_context.callerServer.connectionCounts();
    logEvent(LogLevel::Info, "stopping", { { "signal", std::int64_t(signal.number) }, { "signal_age_at_most_ms", milliseconds(signal.maxAge) }, { "handled_after_ms", milliseconds(BootClock::now() - signal.arrivedAt) }, { "in_flight", std::int64_t(relayContext.inFlight) }, { "streams", std::int64_t(relayContext.streams.size()) }, { "idle_connections", std::int64_t(connections.idle) }, { "reading_connections", std::int64_t(connections.reading) }, { "handling_connections", std::int64_t(connections.handling) }, { "closing_connections", std::int64_t(connections.closing) }, { "stop_limit_ms", m_limit.count() } });
    asio::co_spawn(m_context.io, drainAndStop(), reportFailedHandler);
}

Awaitable<> InstanceStop::run()
{
    auto [error, signal] = co_await m_signals.async_wait(asTuple);
    if (error)
        co_return;
    StopSignals signals;
    signals.endsAtOnce(signal);
    takeSignal(signal);
    while (true) {
        auto [repeatError, repeatedSignal] = co_await m_signals.async_wait(asTuple);
        if (repeatError)
            co_return;
        if (signals.endsAtOnce(repeatedSignal))
            break;
        logEvent(LogLevel::Info, "stop_signal_repeated", { { "signal", std::int64_t(repeatedSignal) } });
    }
    logEvent(LogLevel::Warning, "stopped_early", { { "cut_requests", std::int64_t(m_context.relayContext.inFlight) } });
    m_context.io.stop();
}

/// Reports "not ready" but keeps accepting connections until the load balancer has stopped sending requests,
/// so that callers do not find a closed port. Requests in flight run until shortly before the host's kill.
Awaitable<> InstanceStop::drainAndStop()
{
    auto& server = m_context.callerServer;
    auto& relayContext = m_context.relayContext;
    DrainOptions options { .busyConnections = [&server] { return server.connectionCounts().busy(); }, .endedRequests = [&relayContext] { return relayContext.endedRequests; }, .closeIdleConnections = [&server] { server.closeIdleConnections(); }, .closeListener = [&server] { server.close(); }, .cutRequests = [this] { cutRequests(); }, .chargeRunningRequests = [&relayContext] { relayContext.activeRequests->chargeDelivered(); }, .writeUsage = [this] { return m_context.usageWriter.flushChanges(); }, .handOverUsage = [this] { return handOverUsageToPeers(); }, .schedule = [&relayContext] { return *relayContext.stop; } };
    bool usageWritten = co_await drain(std::move(options));
    if (!usageWritten)
        logEvent(LogLevel::Warning, "usage_not_written", { { "organisations", std::int64_t(m_context.usage.totals().size()) } });
    logCutConnections();
    m_context.io.stop();
}

Awaitable<bool> InstanceStop::handOverUsageToPeers()
{
    m_takesUsageRecords = false;
    std::vector<Endpoint> peers;
    for (const auto& peer : m_context.relayContext.fleet.reachablePeers(Clock::now()))
        peers.push_back(peer.peerEndpoint);
    std::shuffle(peers.begin(), peers.end(), m_context.relayContext.random);
    UsageHandover handover { .own = m_context.usageWriter.record(), .held = m_context.usageCustodian.heldUsage(Clock::now()) };
    int accepted = co_await handOverUsage(std::move(handover), std::move(peers));
    co_return accepted > 0;
}

void InstanceStop::cutRequests()
{
    auto now = Clock::now();
    for (const auto* request : m_context.relayContext.activeRequests->cutAll(now))
        recordCut(m_context.relayContext, *request, now);
}

void InstanceStop::logCutConnections()
{
    auto sinceStop = milliseconds(BootClock::now() - m_context.relayContext.stop->signalledAt());
    for (const auto& connection : m_context.callerServer.openConnections()) {
        bool cut = connection.state != ConnectionState::Idle || connection.unreadBytes > 0;
        if (cut)
            logEvent(LogLevel::Warning, "connection_cut", { { "caller", toString(connection.caller) }, { "state", std::string(toString(connection.state)) }, { "unread_bytes", std::int64_t(connection.unreadBytes) }, { "since_stop_ms", sinceStop } });
    }
}

}
