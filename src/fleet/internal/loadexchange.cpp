#include "fleet/loadexchange.h"

#include "common/log.h"

namespace guavaspan {

LoadExchange::LoadExchange(asio::io_context& io, std::string instance, FleetView& fleet, Dispatcher& dispatcher)
    : m_instance(std::move(instance))
    , m_fleet(fleet)
    , m_dispatcher(dispatcher)
    , m_socket(io)
    // A new life goes on above the old one's numbers, so that its reports are taken for newer.
    , m_sequence(unixMilliseconds())
{
}

Result<void> LoadExchange::listen(const Endpoint& endpoint)
{
    boost::system::error_code error;
    asio::ip::udp::endpoint bound { asio::ip::make_address(endpoint.address, error), endpoint.port };
    if (!error)
        m_socket.open(bound.protocol(), error);
    if (!error)
        m_socket.bind(bound, error);
    if (error)
        return Error { .code = ErrorCode::Unavailable, .step = Step::Peer, .peer = toString(endpoint), .detail = error.message() };
    m_socket.non_blocking(true, error);
    return {};
}

void LoadExchange::sendNow()
{
    InstanceLoads report { .instance = m_instance, .sequence = ++m_sequence, .loads = m_dispatcher.ledger().ownLoads() };
    auto bytes = encodeInstanceLoads(report);
    for (const auto& peer : m_fleet.peers()) {
        boost::system::error_code error;
        asio::ip::udp::endpoint remote { asio::ip::make_address(peer.peers.address, error), peer.peers.port };
        // A datagram that cannot be sent now is replaced by the next one.
        if (!error)
            m_socket.send_to(asio::buffer(bytes), remote, 0, error);
    }
}

void LoadExchange::dropSilent()
{
    for (const auto& name : m_fleet.takeSilent(Clock::now())) {
        logEvent(LogLevel::Info, "peer_silent", { { "peer", name } });
        m_dispatcher.ledger().dropPeer(name);
    }
}

Awaitable<> LoadExchange::sendLoop()
{
    while (true) {
        sendNow();
        dropSilent();
        // Peers' ended work makes room here too.
        m_dispatcher.pump();
        co_await sleepFor(m_fleet.reportInterval());
    }
}

void LoadExchange::onDatagram(std::string_view bytes)
{
    auto report = decodeInstanceLoads(std::string(bytes));
    if (!report) {
        logEvent(LogLevel::Warning, "peer_report_unreadable", { { "bytes", std::int64_t(bytes.size()) } });
        return;
    }
    if (m_fleet.onReport(*report, Clock::now()))
        m_dispatcher.ledger().setPeer(report->instance, std::move(report->loads));
}

Awaitable<> LoadExchange::receiveLoop()
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
        onDatagram({ m_buffer.data(), size });
    }
}

}
