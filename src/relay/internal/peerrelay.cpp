#include "relay/peerrelay.h"

#include "common/log.h"

#include <algorithm>

namespace guavaspan {

namespace {

    constexpr auto connectTimeout = Milliseconds(300);
    constexpr std::size_t maxPeersTried = 3;
    /// The peer answers when the deadline is reached, and its answer takes a moment.
    constexpr auto answerMargin = Milliseconds(100);
    /// Retry delay while no instance that reaches targets is known.
    constexpr auto retryDelayUnreachable = Seconds(1);

    bool isChunked(const http::response_header<>& header)
    {
        return beast::iequals(header[http::field::transfer_encoding], "chunked");
    }

}

Awaitable<RelayResult> PeerRelay::run(RelayRequest& request)
{
    RelayResult result;
    if (request.caller.relayedUnderVersion)
        co_return co_await refuse(request, std::move(result));
    auto peers = m_context.fleet.relayingPeers(request.service.name, Clock::now());
    std::shuffle(peers.begin(), peers.end(), m_context.random);
    std::stable_partition(peers.begin(), peers.end(), [&](const InstanceRecord& peer) { return peer.failureDomain == m_context.failureDomain; });
    peers.resize(std::min(peers.size(), maxPeersTried));
    for (const auto& peer : peers) {
        TargetConnection connection(m_context.io.get_executor());
        request.callerWatch.setCancelAction([&] { connection.cancel(); });
        auto message = m_context.wireFormat.buildPeerRequest(request.exchange.request(), { .timeLeft = timeLeft(request), .configurationVersion = request.table->version() });
        auto attemptTimeout = std::min<Clock::duration>(connectTimeout, timeLeft(request));
        auto opened = co_await connection.open(*peer.callerEndpoint, std::move(message), attemptTimeout);
        result.target = peer.name;
        ++result.sends;
        if (opened) {
            connection.setDeadline(request.deadline + answerMargin);
            result = co_await relayAnswer(request, connection, std::move(result));
        }
        request.callerWatch.setCancelAction(nullptr);
        logEvent(LogLevel::Info, "relayed_by_peer", { { "request", request.caller.requestId }, { "peer", peer.name }, { "peer_domain", peer.failureDomain }, { "connected", bool(opened) }, { "status", std::int64_t(result.status) }, { "detail", opened ? result.detail : describe(opened.error()) }, { "time_left_ms", timeLeft(request).count() } });
        if (opened && result.status != statusNotRelayed)
            co_return result;
        if (request.callerWatch.gone()) {
            result.reason = "caller_gone";
            co_return result;
        }
    }
    co_return co_await refuse(request, std::move(result));
}

Awaitable<RelayResult> PeerRelay::relayAnswer(RelayRequest& request, TargetConnection& connection, RelayResult result)
{
    auto read = co_await connection.readHeader();
    if (!read) {
        result.detail = describe(read.error());
        co_return co_await fail(request, std::move(result));
    }
    result.status = connection.header().result_int();
    result.reason = "relayed_by_peer";
    if (result.status == statusNotRelayed)
        co_return result;
    if (isChunked(connection.header()))
        co_return co_await relayBody(request, connection, std::move(result));
    auto body = co_await connection.readAll([&](std::size_t bytes) { return request.exchange.holdAnswer(bytes); });
    if (!body) {
        result.detail = describe(body.error());
        co_return co_await fail(request, std::move(result));
    }
    auto response = passedOnAnswer(request.exchange.request(), connection.header(), std::move(*body));
    co_await request.exchange.sendResponse(std::move(response));
    co_return result;
}

/// Passes a stream on as it arrives. Without the last chunk the caller detects that it is incomplete.
Awaitable<RelayResult> PeerRelay::relayBody(RelayRequest& request, TargetConnection& connection, RelayResult result)
{
    auto header = withoutHopByHopHeaders(connection.header());
    http::response<http::empty_body> head { std::move(header.base()) };
    bool open = bool(co_await request.exchange.beginResponse(std::move(head)));
    while (open) {
        auto bytes = co_await connection.readSome();
        if (!bytes) {
            result.detail = describe(bytes.error());
            result.reason = request.callerWatch.gone() ? "caller_gone" : (request.endedByStop(Clock::now()) ? reasonStopping : "peer_broke");
            if (!request.cut)
                co_await request.exchange.drain();
            request.exchange.abort();
            co_return result;
        }
        if (bytes->empty()) {
            co_await request.exchange.endEvents();
            co_return result;
        }
        open = bool(co_await request.exchange.writeEvents(std::move(*bytes)));
    }
    result.reason = "caller_gone";
    co_return result;
}

/// The peer received the request and may have passed it on.
Awaitable<RelayResult> PeerRelay::fail(RelayRequest& request, RelayResult result)
{
    if (request.callerWatch.gone()) {
        result.reason = "caller_gone";
        co_return result;
    }
    bool deadlinePassed = Clock::now() >= request.deadline;
    result.status = deadlinePassed ? 504 : 502;
    result.reason = request.endedByStop(Clock::now()) ? reasonStopping : (deadlinePassed ? "timeout" : "peer_broke");
    co_await sendFailure(request.exchange, result.status, result.reason);
    co_return result;
}

Awaitable<RelayResult> PeerRelay::refuse(RelayRequest& request, RelayResult result)
{
    result.status = request.caller.relayedUnderVersion ? statusNotRelayed : 503;
    result.reason = "targets_unreachable";
    auto retryAfter = m_context.dispatcher.jitteredRetryDelay(retryDelayUnreachable);
    co_await sendRefusal(request.exchange, result.status, result.reason, retryAfter);
    co_return result;
}

}
