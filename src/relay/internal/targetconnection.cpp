#include "relay/targetconnection.h"

#include <array>
#include <netinet/tcp.h>

namespace guavaspan {

namespace {

    constexpr std::size_t chunkBytes = 8 << 10;
    /// Larger answers of plain services are cut off as broken.
    constexpr std::size_t maxWholeBytes = 16 << 20;
    /// Idle time, pause and number of keep-alive probes: a silent connection is noticed in about 4 s.
    constexpr int keepAliveIdleSeconds = 1;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbes = 3;

    void watchForSilence(asio::ip::tcp::socket& socket)
    {
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        socket.set_option(asio::socket_base::keep_alive(true), ignored);
        auto handle = socket.native_handle();
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds, sizeof(int));
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalSeconds, sizeof(int));
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof(int));
    }

}

/// Outlives the connection object by what is still being sent.
struct TargetConnection::Link {
    explicit Link(const asio::any_io_executor& executor)
        : socket(executor)
        , limit(executor)
    {
        parser.body_limit(boost::none);
        parser.eager(false);
    }

    void close()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
        limit.cancel();
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer limit;
    bool limitReached = false;
    HttpRequest request;
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    std::array<char, chunkBytes> chunk {};
};

TargetConnection::TargetConnection(const asio::any_io_executor& executor)
    : m_link(std::make_shared<Link>(executor))
{
}

TargetConnection::~TargetConnection()
{
    m_link->close();
}

void TargetConnection::cancel()
{
    m_link->close();
}

void TargetConnection::setLimit(TimePoint limit)
{
    m_link->limit.expires_at(limit);
    m_link->limit.async_wait([link = m_link](boost::system::error_code error) {
        if (error)
            return;
        link->limitReached = true;
        boost::system::error_code ignored;
        link->socket.close(ignored);
    });
}

Error TargetConnection::failure(const boost::system::error_code& error, Step step) const
{
    auto code = m_link->limitReached ? ErrorCode::Timeout : ErrorCode::LinkBroken;
    return { .code = code, .step = step, .peer = toString(m_endpoint), .detail = error.message(), .outcome = Outcome::Unknown };
}

Awaitable<Result<void>> TargetConnection::open(Endpoint endpoint, HttpRequest request, Clock::duration connectTimeout)
{
    m_endpoint = std::move(endpoint);
    auto link = m_link;
    boost::system::error_code error;
    asio::ip::tcp::endpoint remote { asio::ip::make_address(m_endpoint.address, error), m_endpoint.port };
    if (!error) {
        setLimit(Clock::now() + connectTimeout);
        auto [connectError] = co_await link->socket.async_connect(remote, asTuple);
        error = connectError;
        link->limit.cancel();
    }
    if (error || link->limitReached)
        co_return Error { .code = ErrorCode::ConnectFailed, .step = Step::Connect, .peer = toString(m_endpoint), .detail = error.message(), .outcome = Outcome::NotRun };
    watchForSilence(link->socket);
    link->request = std::move(request);
    http::async_write(link->socket, link->request, [link](boost::system::error_code, std::size_t) {
        // A failure to send shows again when the answer is read.
    });
    co_return Result<void> {};
}

Awaitable<Result<void>> TargetConnection::readHeader()
{
    auto link = m_link;
    auto [error, bytes] = co_await http::async_read_header(link->socket, link->buffer, link->parser, asTuple);
    if (error)
        co_return failure(error, Step::ReadReply);
    co_return Result<void> {};
}

const http::response_header<>& TargetConnection::header() const
{
    return m_link->parser.get().base();
}

bool TargetConnection::endsWithConnection() const
{
    return m_link->parser.need_eof();
}

Awaitable<Result<std::string>> TargetConnection::readSome()
{
    auto link = m_link;
    while (!link->parser.is_done()) {
        auto& body = link->parser.get().body();
        body.data = link->chunk.data();
        body.size = link->chunk.size();
        auto [error, bytes] = co_await http::async_read_some(link->socket, link->buffer, link->parser, asTuple);
        std::size_t filled = link->chunk.size() - body.size;
        if (error && error != http::error::need_buffer && filled == 0)
            co_return failure(error, Step::Relay);
        if (filled > 0)
            co_return std::string(link->chunk.data(), filled);
    }
    co_return std::string();
}

Awaitable<Result<std::string>> TargetConnection::readWhole()
{
    std::string whole;
    while (true) {
        auto part = co_await readSome();
        if (!part)
            co_return part.error();
        if (part->empty())
            co_return whole;
        whole += *part;
        if (whole.size() > maxWholeBytes)
            co_return Error { .code = ErrorCode::BadReply, .step = Step::ReadReply, .peer = toString(m_endpoint), .detail = "answer too large", .outcome = Outcome::Unknown };
    }
}

}
