#include "soak/proxy.h"

#include <array>

namespace guavaspan::soak {

namespace {

    constexpr auto delay = Milliseconds(120);
    constexpr auto faultCheck = Milliseconds(10);
    constexpr std::size_t chunkBytes = 16 << 10;

}

struct Proxy::Pair {
    explicit Pair(asio::io_context& io)
        : near(io)
        , far(io)
    {
    }

    void reset()
    {
        boost::system::error_code ignored;
        for (auto* socket : { &near, &far }) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

    asio::ip::tcp::socket near;
    asio::ip::tcp::socket far;
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
    for (auto& each : m_pairs) {
        if (auto pair = each.lock())
            pair->reset();
    }
    m_pairs.clear();
}

Awaitable<> Proxy::acceptLoop()
{
    while (true) {
        auto pair = std::make_shared<Pair>(m_io);
        auto [error] = co_await m_acceptor.async_accept(pair->near, asTuple);
        if (error)
            co_return;
        if (m_fault == LinkFault::Reset) {
            pair->reset();
            continue;
        }
        std::erase_if(m_pairs, [](const auto& each) { return each.expired(); });
        m_pairs.push_back(pair);
        asio::co_spawn(m_io, join(std::move(pair)), asio::detached);
    }
}

Awaitable<> Proxy::join(std::shared_ptr<Pair> pair)
{
    while (m_fault == LinkFault::Silent)
        co_await sleepFor(faultCheck);
    auto target = m_target;
    auto [error] = co_await pair->far.async_connect({ asio::ip::make_address(target.address), target.port }, asTuple);
    if (error) {
        pair->reset();
        co_return;
    }
    asio::co_spawn(m_io, pump(pair, true), asio::detached);
    asio::co_spawn(m_io, pump(pair, false), asio::detached);
}

Awaitable<> Proxy::pump(std::shared_ptr<Pair> pair, bool forward)
{
    auto& from = forward ? pair->near : pair->far;
    auto& to = forward ? pair->far : pair->near;
    std::array<char, chunkBytes> chunk {};
    while (true) {
        auto [error, bytes] = co_await from.async_read_some(asio::buffer(chunk), asTuple);
        while (m_fault == LinkFault::Silent || (m_fault == LinkFault::OneWay && !forward))
            co_await sleepFor(faultCheck);
        if (m_fault == LinkFault::Delayed)
            co_await sleepFor(delay);
        boost::system::error_code ignored;
        if (error == asio::error::eof) {
            to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            co_return;
        }
        if (error) {
            pair->reset();
            co_return;
        }
        auto [writeError, written] = co_await asio::async_write(to, asio::buffer(chunk.data(), bytes), asTuple);
        if (writeError) {
            pair->reset();
            co_return;
        }
    }
}

}
