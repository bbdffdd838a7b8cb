#pragma once

#include "dispatch/dispatcher.h"
#include "fleet/fleetview.h"

#include <array>
#include <boost/asio/ip/udp.hpp>

namespace guavaspan {

/// Tells peers this instance's load in datagrams and takes in theirs. A late report is
/// worth nothing, so nothing is sent again and nothing queues behind a stalled link.
class LoadExchange {
public:
    LoadExchange(asio::io_context&, std::string instance, FleetView&, Dispatcher&);

    Result<void> listen(const Endpoint&);
    Awaitable<> sendLoop();
    Awaitable<> receiveLoop();

    /// Tells everybody now, since work begins that the next report would tell too late.
    void sendNow();

private:
    void onDatagram(std::string_view bytes);
    void dropSilent();

    static constexpr std::size_t maxDatagramBytes = 16 << 10;

    std::string m_instance;
    FleetView& m_fleet;
    Dispatcher& m_dispatcher;
    asio::ip::udp::socket m_socket;
    std::int64_t m_sequence = 0;
    std::array<char, maxDatagramBytes> m_buffer {};
};

}
