#include "soak/proxy.h"

#include <array>

namespace guavaspan::soak {

namespace {

    constexpr auto addedDelay = Milliseconds(120);
    constexpr auto faultPollInterval = Milliseconds(10);
    constexpr std::size_t chunkBytes = 16 << 10;

}

struct Proxy::Connection {
    explicit Connection(asio::io_context& io)
        : clientSocket(io)
        , targetSocket(io)
    {
    }

    void reset()
    {
        boost::system::error_code ignored;
        for (auto* socket : { &clientSocket, &targetSocket }) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

    asio::ip::tcp::socket clientSocket;
    asio::ip::tcp::socket targetSocket;
};

Proxy::Proxy(asio::io_context& io, Endpoint target)
    : m_io(io)
    , m_acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_target(std::move(target))
{
}

Endpoint Proxy::listen()
{
    asio::co_spawn(m_io, acceptLoop(), asio::detached);
    return { .address = "127.0.0.1", .port = m_acceptor.local_endpoint().port() };
}

void Proxy::setFault(LinkFault fault)
{
    m_fault = fault;
    if (fault != LinkFault::Reset)
        return;
    for (auto& weakConnection : m_connections) {
        if (auto connection = weakConnection.lock())
            connection->reset();
    }
    m_connections.clear();
}

Awaitable<> Proxy::acceptLoop()
{
    while (true) {
        auto connection = std::make_shared<Connection>(m_io);
        auto [error] = co_await m_acceptor.async_accept(connection->clientSocket, asTuple);
        if (error)
            co_return;
        if (m_fault == LinkFault::Reset) {
            connection->reset();
            continue;
        }
        std::erase_if(m_connections, [](const auto& weakConnection) { return weakConnection.expired(); });
        m_connections.push_back(connection);
        asio::co_spawn(m_io, connectToTarget(std::move(connection)), asio::detached);
    }
}

Awaitable<> Proxy::connectToTarget(std::shared_ptr<Connection> connection)
{
    while (m_fault == LinkFault::Silent)
        co_await sleepFor(faultPollInterval);
    auto target = m_target;
    auto [error] = co_await connection->targetSocket.async_connect({ asio::ip::make_address(target.address), target.port }, asTuple);
    if (error) {
        connection->reset();
        co_return;
    }
    asio::co_spawn(m_io, forwardBytes(connection, true), asio::detached);
    asio::co_spawn(m_io, forwardBytes(connection, false), asio::detached);
}

Awaitable<> Proxy::forwardBytes(std::shared_ptr<Connection> connection, bool towardsTarget)
{
    auto& source = towardsTarget ? connection->clientSocket : connection->targetSocket;
    auto& destination = towardsTarget ? connection->targetSocket : connection->clientSocket;
    std::array<char, chunkBytes> chunk {};
    while (true) {
        auto [error, bytes] = co_await source.async_read_some(asio::buffer(chunk), asTuple);
        while (m_fault == LinkFault::Silent || (m_fault == LinkFault::OneWay && !towardsTarget))
            co_await sleepFor(faultPollInterval);
        if (m_fault == LinkFault::Delayed)
            co_await sleepFor(addedDelay);
        boost::system::error_code ignored;
        if (error == asio::error::eof) {
            destination.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            co_return;
        }
        if (error) {
            connection->reset();
            co_return;
        }
        auto [writeError, written] = co_await asio::async_write(destination, asio::buffer(chunk.data(), bytes), asTuple);
        if (writeError) {
            connection->reset();
            co_return;
        }
    }
}

}
