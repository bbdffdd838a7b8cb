#pragma once

#include "fleet/fleetview.h"
#include "placement/broadcastrelay.h"
#include "placement/placementmessages.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>

namespace guavaspan {

/// Sends and receives UDP datagrams between instances. Each message is soon superseded by
/// a newer one, so a lost datagram costs less than a stalled connection would.
class FleetLink {
public:
    using MessageHandler = std::function<void(const FleetMessage&)>;

    FleetLink(asio::io_context&, FleetView&);

    Result<void> listen(const Endpoint&);
    void setMessageHandler(MessageHandler handler) { m_messageHandler = std::move(handler); }
    Awaitable<> receiveLoop();

    /// Returns false if the instance is not registered or the datagram could not be sent.
    bool send(const std::string& instance, const FleetMessage&);
    void sendTo(const std::vector<std::string>& instances, const FleetMessage&);

    /// Sends a message to all instances, in a large fleet by way of the aggregators.
    void broadcast(const FleetMessage&);

    /// Bytes of the datagrams that were sent, by kind of message. Broadcasts in batches count as batches.
    std::map<std::string_view, std::uint64_t> bytesSent() const;

    /// Passes on the broadcasts of others and repeats those of this instance.
    void onTick(TimePoint now);

private:
    bool transmit(const InstanceRecord&, const FleetMessage&, const std::string& bytes);
    void sendBroadcasts(TimePoint now);
    void onDatagram(const std::string& bytes, const asio::ip::udp::endpoint& sender);
    void deliver(const BroadcastBatch&);

    static constexpr std::size_t maxDatagramBytes = 48 << 10;

    FleetView& m_fleet;
    asio::ip::udp::socket m_socket;
    std::array<char, maxDatagramBytes> m_buffer {};
    MessageHandler m_messageHandler;
    BroadcastRelay m_broadcasts;
    /// By the index of the message's type.
    std::array<std::uint64_t, std::variant_size_v<FleetMessage>> m_bytesSent {};
};

}
