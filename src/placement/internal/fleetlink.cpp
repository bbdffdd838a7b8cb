#include "placement/fleetlink.h"

#include "common/log.h"

namespace guavaspan {

FleetLink::FleetLink(asio::io_context& io, FleetView& fleet)
    : m_fleet(fleet)
    , m_socket(io)
    , m_broadcasts(fleet.self(), unixMilliseconds())
{
}

Result<void> FleetLink::listen(const Endpoint& endpoint)
{
    boost::system::error_code error;
    asio::ip::udp::endpoint localEndpoint { asio::ip::make_address(endpoint.address, error), endpoint.port };
    if (!error)
        m_socket.open(localEndpoint.protocol(), error);
    if (!error)
        m_socket.bind(localEndpoint, error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return Error { .code = ErrorCode::Unavailable, .step = Step::Peer, .peer = toString(endpoint), .detail = error.message() };
    return {};
}

bool FleetLink::transmit(const InstanceRecord& peer, const FleetMessage& message, const std::string& bytes)
{
    boost::system::error_code error;
    asio::ip::udp::endpoint remote { asio::ip::make_address(peer.peerEndpoint.address, error), peer.peerEndpoint.port };
    if (!error)
        m_socket.send_to(asio::buffer(bytes), remote, 0, error);
    if (!error)
        m_bytesSent.at(message.index()) += bytes.size();
    return !error;
}

bool FleetLink::send(const std::string& instance, const FleetMessage& message)
{
    const auto* peer = m_fleet.find(instance);
    return peer && transmit(*peer, message, encodeFleetMessage(message));
}

void FleetLink::sendTo(const std::vector<std::string>& instances, const FleetMessage& message)
{
    if (instances.empty())
        return;
    auto bytes = encodeFleetMessage(message);
    for (const auto& instance : instances) {
        if (const auto* peer = m_fleet.find(instance))
            transmit(*peer, message, bytes);
    }
}

std::map<std::string_view, std::uint64_t> FleetLink::bytesSent() const
{
    std::map<std::string_view, std::uint64_t> bytesByKind;
    for (std::size_t kind = 0; kind < m_bytesSent.size(); ++kind)
        bytesByKind.emplace(fleetMessageKinds.at(kind), m_bytesSent[kind]);
    return bytesByKind;
}

void FleetLink::broadcast(const FleetMessage& message)
{
    if (!m_fleet.usesSummaries()) {
        sendTo(m_fleet.peerNames(), message);
        return;
    }
    auto now = Clock::now();
    m_broadcasts.publish(encodeFleetMessage(message), now);
    sendBroadcasts(now);
}

void FleetLink::sendBroadcasts(TimePoint now)
{
    for (const auto& batch : m_broadcasts.takeForAggregators(now))
        sendTo(m_fleet.reportRecipients(now), batch);
}

/// Subscribers get what has come together since the last tick, which bounds the number of datagrams whatever happens to the targets.
void FleetLink::onTick(TimePoint now)
{
    sendBroadcasts(now);
    for (const auto& batch : m_broadcasts.takeForSubscribers())
        sendTo(m_fleet.subscribers(now), batch);
}

void FleetLink::deliver(const BroadcastBatch& batch)
{
    for (const auto& bytes : m_broadcasts.onBatch(batch, Clock::now())) {
        auto message = decodeFleetMessage(bytes);
        if (message && !std::holds_alternative<BroadcastBatch>(*message))
            m_messageHandler(*message);
    }
}

void FleetLink::onDatagram(const std::string& bytes, const asio::ip::udp::endpoint& sender)
{
    auto message = decodeFleetMessage(bytes);
    if (!message)
        logEvent(LogLevel::Warning, "peer_message_unreadable", { { "peer", sender.address().to_string() }, { "bytes", std::int64_t(bytes.size()) } });
    else if (const auto* batch = std::get_if<BroadcastBatch>(&*message))
        deliver(*batch);
    else
        m_messageHandler(*message);
}

Awaitable<> FleetLink::receiveLoop()
{
    constexpr auto pauseAfterFailure = Milliseconds(100);
    while (true) {
        asio::ip::udp::endpoint remote;
        auto [error, size] = co_await m_socket.async_receive_from(asio::buffer(m_buffer), remote, asTuple);
        if (error) {
            logEvent(LogLevel::Warning, "peer_receive_failed", { { "detail", error.message() } });
            co_await sleepFor(pauseAfterFailure);
            continue;
        }
        onDatagram(std::string(m_buffer.data(), size), remote);
    }
}

}
