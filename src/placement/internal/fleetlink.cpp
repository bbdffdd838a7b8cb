#include "placement/fleetlink.h"

#include "common/log.h"

namespace guavaspan {

FleetLink::FleetLink(asio::io_context& io, FleetView& fleet)
    : m_fleet(fleet)
    , m_socket(io)
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

bool FleetLink::transmit(const InstanceRecord& peer, const std::string& bytes)
{
    boost::system::error_code error;
    asio::ip::udp::endpoint remote { asio::ip::make_address(peer.peerEndpoint.address, error), peer.peerEndpoint.port };
    if (!error)
        m_socket.send_to(asio::buffer(bytes), remote, 0, error);
    return !error;
}

bool FleetLink::send(const std::string& instance, const FleetMessage& message)
{
    const auto* peer = m_fleet.find(instance);
    return peer && transmit(*peer, encodeFleetMessage(message));
}

void FleetLink::sendToAll(const FleetMessage& message)
{
    auto bytes = encodeFleetMessage(message);
    for (const auto& peer : m_fleet.peers())
        transmit(peer, bytes);
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
        auto message = decodeFleetMessage(std::string(m_buffer.data(), size));
        if (message)
            m_messageHandler(*message);
        else
            logEvent(LogLevel::Warning, "peer_message_unreadable", { { "peer", remote.address().to_string() }, { "bytes", std::int64_t(size) } });
    }
}

}
