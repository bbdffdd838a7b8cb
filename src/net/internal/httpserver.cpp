#include "net/httpserver.h"

#include "common/log.h"
#include "net/eventloop.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/read_size.hpp>
#include <fmt/format.h>
#include <netinet/tcp.h>

namespace guavaspan {

namespace {

    /// Time for a request that a caller sends before it learns that connections are no longer kept.
    constexpr auto finalIdleTimeout = Milliseconds(300);

    /// Coroutines, parser and objects of a connection, without its buffers.
    constexpr std::size_t connectionBytes = 8 << 10;
    /// A request's memory is counted in steps, so that not every read is.
    constexpr std::size_t requestStepBytes = 16 << 10;
    /// An idle connection keeps a buffer up to this size.
    constexpr std::size_t maxIdleBufferBytes = 16 << 10;
    /// Bytes of an answer that the kernel holds besides those that the caller's receive window permits.
    constexpr int maxUnsentBytes = 128 << 10;
    /// The time after which a shed request may be repeated is drawn from this range, so that callers do not return at one moment.
    constexpr double minRetrySeconds = 0.5;
    constexpr double maxRetrySeconds = 2;

    /// No room for a request that has not run.
    const boost::system::error_code noRoom = asio::error::no_memory;

    /// Response status for a request that could not be read; 0 means that no response is sent.
    unsigned statusForReadError(const boost::system::error_code& error)
    {
        if (error == noRoom)
            return 503;
        if (error == http::error::body_limit)
            return 413;
        if (error == http::error::header_limit)
            return 431;
        if (error == beast::error::timeout)
            return 408;
        if (error == http::error::end_of_stream || error == asio::error::eof || error == http::error::partial_message)
            return 0;
        if (error.category() == http::make_error_code(http::error::bad_method).category())
            return 400;
        return 0;
    }

    Reply replyForReadError(unsigned status, const std::string& detail)
    {
        auto body = fmt::format(R"({{"type":"about:blank","status":{},"code":"bad_request","step":"read_request","outcome":"not_run","detail":"{}"}})",
            status, detail);
        return Reply { .status = status, .contentType = "application/problem+json", .body = body };
    }

    /// Cancels a socket's operations after a time, unless it is destroyed or started again before. The handler of a timer that
    /// has expired may still be queued then, and must not use the socket any more.
    class CancelTimer {
    public:
        CancelTimer(asio::io_context& context, asio::ip::tcp::socket& socket)
            : m_socket(socket)
            , m_timer(context)
        {
        }

        ~CancelTimer() { *m_active = false; }
        CancelTimer(const CancelTimer&) = delete;
        CancelTimer& operator=(const CancelTimer&) = delete;

        void start(Clock::duration duration)
        {
            *m_active = false;
            m_active = std::make_shared<bool>(true);
            m_timer.expires_after(duration);
            m_timer.async_wait([this, active = m_active](boost::system::error_code error) {
                if (error || !*active)
                    return;
                m_expired = true;
                boost::system::error_code ignored;
                m_socket.cancel(ignored);
            });
        }

        bool expired() const { return m_expired; }

    private:
        asio::ip::tcp::socket& m_socket;
        asio::steady_timer m_timer;
        std::shared_ptr<bool> m_active = std::make_shared<bool>(false);
        bool m_expired = false;
    };

    /// Reads what the caller still sends, until it has closed its end. A socket that is closed with unread bytes is
    /// reset, and the caller may lose the end of an answer that it has not read.
    Awaitable<> discardUntilEnd(beast::tcp_stream& stream)
    {
        constexpr auto maxTime = Milliseconds(2000);
        constexpr std::size_t maxBytes = 4 << 20;
        std::array<char, 4096> chunk {};
        auto deadline = Clock::now() + maxTime;
        stream.expires_at(deadline);
        // The timer of tcp_stream does not end a read whose bytes have already arrived.
        for (std::size_t discarded = 0; discarded < maxBytes && Clock::now() < deadline;) {
            auto [error, count] = co_await stream.async_read_some(asio::buffer(chunk), asTuple);
            if (error)
                co_return;
            discarded += count;
        }
    }

}

const char* toString(ConnectionState state)
{
    switch (state) {
    case ConnectionState::Idle:
        return "idle";
    case ConnectionState::Reading:
        return "reading";
    case ConnectionState::Handling:
        return "handling";
    case ConnectionState::Closing:
        return "closing";
    }
    return "idle";
}

/// Listed in the server's connections while it exists.
struct HttpServer::Connection {
    Connection(asio::ip::tcp::socket socket, Endpoint remote, std::shared_ptr<Connections> connections, std::shared_ptr<MemoryBudget> budget)
        : stream(std::move(socket))
        , remote(std::move(remote))
        , budget(std::move(budget))
        , m_connections(std::move(connections))
        , m_position(m_connections->insert(m_connections->end(), this))
    {
        if (!this->budget)
            return;
        account.emplace(
            *this->budget, this->remote.address, [this](ShedCause cause) { shed(cause); }, Clock::now());
        boost::system::error_code ignored;
        stream.socket().non_blocking(true, ignored);
        ::setsockopt(stream.socket().native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &maxUnsentBytes, sizeof(int));
    }

    ~Connection() { m_connections->erase(m_position); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    MemoryAccount* accountOrNull() { return account ? &*account : nullptr; }

    bool isShed() const { return account && account->isShed(); }

    bool setHolderState(HolderState holderState) { return !account || account->setState(holderState, Clock::now()); }

    /// Counts what has been read. The body is counted twice, because a copy of it is sent on.
    bool holdRequest(std::size_t bodyBytes)
    {
        if (!account)
            return true;
        auto unparsed = connectionBytes + buffer.capacity();
        auto request = (2 * bodyBytes + requestStepBytes - 1) / requestStepBytes * requestStepBytes;
        if (unparsed == m_heldUnparsed && request == m_heldRequest)
            return !account->isShed();
        auto now = Clock::now();
        if (!account->hold(MemoryUse::Connection, unparsed, now) || !account->hold(MemoryUse::Request, request, now))
            return false;
        m_heldUnparsed = unparsed;
        m_heldRequest = request;
        return true;
    }

    /// Releases what a request held, and the buffer if nothing is in it.
    void releaseRequest()
    {
        if (!account)
            return;
        if (buffer.size() == 0 && buffer.capacity() > maxIdleBufferBytes)
            buffer.shrink_to_fit();
        auto now = Clock::now();
        if (account->isShed())
            account->resume(now);
        for (auto use : { MemoryUse::Connection, MemoryUse::Request, MemoryUse::Answer })
            account->hold(use, 0, now);
        m_heldUnparsed = 0;
        m_heldRequest = 0;
        holdRequest(0);
    }

    void logShed(ShedCause cause) const
    {
        logEvent(LogLevel::Info, "connection_shed", { { "caller", toString(remote) }, { "cause", std::string(toString(cause)) }, { "state", std::string(toString(account->state())) }, { "request_bytes", std::int64_t(m_heldRequest) }, { "held_bytes", std::int64_t(budget->heldBytes()) } });
    }

    std::size_t unreadBytes() const
    {
        boost::system::error_code ignored;
        return stream.socket().available(ignored);
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    Endpoint remote;
    ConnectionState state = ConnectionState::Reading;
    /// Whether an answer was sent that the caller may not have read to its end.
    bool lingers = false;
    std::shared_ptr<MemoryBudget> budget;
    /// Present if the server has a budget.
    std::optional<MemoryAccount> account;

private:
    /// An unfinished request is answered by its coroutine. A stuck answer cannot be completed, and its write fails.
    void shed(ShedCause cause)
    {
        logShed(cause);
        boost::system::error_code ignored;
        if (cause == ShedCause::Descriptors)
            stream.socket().close(ignored);
        else if (account->state() == HolderState::Reading)
            stream.socket().cancel(ignored);
        else
            stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    }

    std::shared_ptr<Connections> m_connections;
    Connections::iterator m_position;
    std::size_t m_heldUnparsed = 0;
    std::size_t m_heldRequest = 0;
};

HttpServer::HttpServer(asio::io_context& context, HttpLimits limits, HttpHandler handler)
    : m_context(context)
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_acceptor(context)
{
}

Result<Endpoint> HttpServer::listen(const Endpoint& endpoint)
{
    boost::system::error_code error;
    asio::ip::tcp::endpoint bindAddress { asio::ip::make_address(endpoint.address, error), endpoint.port };
    if (!error)
        m_acceptor.open(bindAddress.protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(bindAddress, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return Error { .code = ErrorCode::Unavailable, .step = Step::Settings, .peer = toString(endpoint), .detail = error.message() };
    asio::co_spawn(m_context, acceptLoop(), reportFailedHandler);
    return Endpoint { .address = endpoint.address, .port = m_acceptor.local_endpoint().port() };
}

void HttpServer::close()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

Awaitable<> HttpServer::acceptLoop()
{
    constexpr auto acceptRetryDelay = Milliseconds(50);
    while (m_acceptor.is_open()) {
        auto [error, socket] = co_await m_acceptor.async_accept(asTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            logEvent(LogLevel::Warning, "accept_failed", { { "detail", error.message() } });
            co_await sleepFor(acceptRetryDelay);
            continue;
        }
        asio::co_spawn(m_context, serve(std::move(socket)), reportFailedHandler);
    }
}

/// Reads what the caller has sent, as far as the buffer has room.
Awaitable<boost::system::error_code> HttpServer::receiveSome(Connection& connection)
{
    constexpr std::size_t maxBytesPerRead = 64 << 10;
    auto size = beast::read_size(connection.buffer, maxBytesPerRead);
    if (size == 0)
        co_return http::error::buffer_overflow;
    auto [error, count] = co_await connection.stream.async_read_some(connection.buffer.prepare(size), asTuple);
    connection.buffer.commit(count);
    co_return error;
}

/// Uses a separate timer, because the timer of tcp_stream closes the socket, and no error response could be sent.
Awaitable<boost::system::error_code> HttpServer::readRequest(Connection& connection, HttpRequestParser& parser)
{
    auto& stream = connection.stream;
    CancelTimer timer(m_context, stream.socket());
    stream.expires_never();
    // The parser limits header and body, but not a chunk header or trailer fields that have no end.
    connection.buffer.max_size(std::max<std::size_t>({ maxUnparsedBytes, m_limits.maxHeaderBytes, connection.buffer.size() }));
    timer.start(m_limits.headerTimeout);
    boost::system::error_code error;
    bool headerIsRead = false;
    bool needsBytes = connection.buffer.size() == 0;
    // Cancelling does not end a read that has completed, so the timer is checked after each. The reads of Beast check nothing until
    // a header or the header of a chunk is complete.
    while (!error && !parser.is_done() && !timer.expired()) {
        if (needsBytes)
            error = co_await receiveSome(connection);
        if (error)
            break;
        connection.buffer.consume(parser.put(connection.buffer.data(), error));
        needsBytes = error == http::error::need_more || connection.buffer.size() == 0;
        if (error == http::error::need_more)
            error = {};
        if (!error && !connection.holdRequest(parser.get().body().size()))
            error = noRoom;
        if (headerIsRead || !parser.is_header_done())
            continue;
        headerIsRead = true;
        timer.start(m_limits.headerTimeout);
    }
    if (timer.expired())
        error = beast::error::timeout;
    if (connection.isShed())
        error = noRoom;
    co_return error;
}

/// Tells the caller that its request has not run.
Awaitable<> HttpServer::refuseUnread(Connection& connection, const boost::system::error_code& error)
{
    auto status = statusForReadError(error);
    if (status == 0)
        co_return;
    auto reply = replyForReadError(status, error == noRoom ? "no room for the request" : error.message());
    if (error == noRoom)
        reply.headers["Retry-After"] = fmt::format("{:.2f}", std::uniform_real_distribution<double>(minRetrySeconds, maxRetrySeconds)(m_random));
    connection.state = ConnectionState::Handling;
    HttpExchange exchange(connection.stream, HttpRequest {}, connection.remote, m_limits.writeTimeout, nullptr);
    co_await exchange.send(std::move(reply));
    connection.lingers = true;
}

/// Waits for the first byte of the next request on a kept connection. False if the connection is to be closed instead.
Awaitable<bool> HttpServer::waitForRequest(Connection& connection)
{
    if (connection.buffer.size() > 0)
        co_return true;
    connection.setHolderState(HolderState::Idle);
    connection.state = ConnectionState::Idle;
    auto& socket = connection.stream.socket();
    CancelTimer timer(m_context, socket);
    timer.start(m_keepsConnections ? m_limits.idleTimeout : finalIdleTimeout);
    auto [error] = co_await socket.async_wait(asio::socket_base::wait_read, asTuple);
    co_return !error;
}

Awaitable<> HttpServer::serveRequests(Connection& connection)
{
    bool firstRequest = true;
    while (firstRequest || co_await waitForRequest(connection)) {
        firstRequest = false;
        connection.state = ConnectionState::Reading;
        connection.setHolderState(HolderState::Reading);
        std::optional<HttpRequestParser> parser(std::in_place);
        parser->body_limit(m_limits.maxBodyBytes);
        parser->header_limit(m_limits.maxHeaderBytes);
        auto error = co_await readRequest(connection, *parser);
        connection.state = ConnectionState::Handling;
        auto cause = ShedCause::Memory;
        if (!error && !connection.setHolderState(HolderState::Handling)) {
            error = noRoom;
            cause = ShedCause::Descriptors;
        }
        if (error) {
            if (error == noRoom && !connection.isShed())
                connection.logShed(cause);
            parser.reset();
            connection.buffer.clear();
            connection.releaseRequest();
            connection.setHolderState(HolderState::Closing);
            co_await refuseUnread(connection, error);
            co_return;
        }
        connection.stream.expires_never();
        HttpExchange exchange(connection.stream, parser->releaseRequest(), connection.remote, m_limits.writeTimeout, connection.accountOrNull());
        parser.reset();
        exchange.setFollowingBytes([&connection] { return connection.buffer.size() > 0 || connection.unreadBytes() > 0; });
        co_await m_handler(exchange);
        connection.releaseRequest();
        connection.lingers = exchange.responseStarted();
        if (!exchange.responseStarted() || !exchange.keepAlive())
            co_return;
    }
    connection.lingers = false;
}

Awaitable<> HttpServer::serve(asio::ip::tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto remoteEndpoint = socket.remote_endpoint(ignored);
    Connection connection(std::move(socket), { .address = remoteEndpoint.address().to_string(), .port = remoteEndpoint.port() }, m_connections, m_budget);
    if (connection.account && !connection.account->open(Clock::now())) {
        connection.logShed(ShedCause::Descriptors);
        co_return;
    }
    connection.holdRequest(0);
    co_await serveRequests(connection);
    connection.state = ConnectionState::Closing;
    connection.releaseRequest();
    connection.setHolderState(HolderState::Closing);
    connection.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (connection.lingers)
        co_await discardUntilEnd(connection.stream);
}

void HttpServer::closeIdleConnections()
{
    m_keepsConnections = false;
    boost::system::error_code ignored;
    for (auto* connection : *m_connections) {
        // A request that has already arrived is answered.
        if (connection->state == ConnectionState::Idle && connection->unreadBytes() == 0)
            connection->stream.socket().cancel(ignored);
    }
}

ConnectionCounts HttpServer::connectionCounts() const
{
    ConnectionCounts counts;
    for (const auto* connection : *m_connections) {
        switch (connection->state) {
        case ConnectionState::Idle:
            // A request that has arrived is not yet read.
            ++(connection->unreadBytes() > 0 ? counts.reading : counts.idle);
            break;
        case ConnectionState::Reading:
            ++counts.reading;
            break;
        case ConnectionState::Handling:
            ++counts.handling;
            break;
        case ConnectionState::Closing:
            ++counts.closing;
            break;
        }
    }
    return counts;
}

std::vector<OpenConnection> HttpServer::openConnections() const
{
    std::vector<OpenConnection> connections;
    for (const auto* connection : *m_connections)
        connections.push_back({ .caller = connection->remote, .state = connection->state, .unreadBytes = connection->unreadBytes() });
    return connections;
}

}
