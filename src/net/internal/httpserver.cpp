#include "net/httpserver.h"

#include "common/log.h"

#include <fmt/format.h>

namespace guavaspan {

namespace {

    /// Response status for a request that could not be read; 0 means that no response is sent.
    unsigned statusForReadError(const boost::system::error_code& error)
    {
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

}

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
    asio::co_spawn(m_context, acceptLoop(), asio::detached);
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
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

/// Uses a separate timer, because the timer of tcp_stream closes the socket, and no error response could be sent.
Awaitable<boost::system::error_code> HttpServer::readRequest(beast::tcp_stream& stream, beast::flat_buffer& buffer, http::request_parser<http::string_body>& parser, Clock::duration headerReadTimeout)
{
    auto expired = std::make_shared<bool>(false);
    asio::steady_timer timer(m_context);
    auto startTimer = [&](Clock::duration duration) {
        timer.expires_after(duration);
        timer.async_wait([&stream, expired](boost::system::error_code error) {
            if (error)
                return;
            *expired = true;
            stream.socket().cancel();
        });
    };
    stream.expires_never();
    startTimer(headerReadTimeout);
    auto [headerError, headerBytes] = co_await http::async_read_header(stream, buffer, parser, asTuple);
    auto error = headerError;
    if (!error) {
        startTimer(m_limits.headerTimeout);
        auto [bodyError, bodyBytes] = co_await http::async_read(stream, buffer, parser, asTuple);
        error = bodyError;
    }
    if (*expired)
        error = beast::error::timeout;
    co_return error;
}

Awaitable<> HttpServer::serve(asio::ip::tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto remoteEndpoint = socket.remote_endpoint(ignored);
    Endpoint remote { .address = remoteEndpoint.address().to_string(), .port = remoteEndpoint.port() };
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool firstRequest = true;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(m_limits.maxBodyBytes);
        parser.header_limit(m_limits.maxHeaderBytes);
        auto error = co_await readRequest(stream, buffer, parser, firstRequest ? m_limits.headerTimeout : m_limits.idleTimeout);
        if (error) {
            auto status = statusForReadError(error);
            bool requestBegun = firstRequest || parser.got_some() || buffer.size() > 0;
            // An idle connection is closed without a response.
            if (status && requestBegun) {
                HttpExchange exchange(stream, HttpRequest {}, remote, m_limits.writeTimeout);
                co_await exchange.send(replyForReadError(status, error.message()));
            }
            break;
        }
        firstRequest = false;
        stream.expires_never();
        HttpExchange exchange(stream, parser.release(), remote, m_limits.writeTimeout);
        co_await m_handler(exchange);
        if (!exchange.responseStarted() || !exchange.keepAlive())
            break;
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

}
