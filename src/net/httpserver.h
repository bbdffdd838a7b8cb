#pragma once

#include "net/httpexchange.h"

#include <functional>
#include <memory>

namespace guavaspan {

/// Size limits and timeouts of one connection.
struct HttpLimits {
    std::uint64_t maxBodyBytes = 1 << 20;
    std::uint32_t maxHeaderBytes = 16 << 10;
    Clock::duration headerTimeout = Seconds(10);
    Clock::duration writeTimeout = Seconds(30);
    Clock::duration idleTimeout = Seconds(75);
};

using HttpHandler = std::function<Awaitable<>(HttpExchange&)>;

/// Accepts connections and passes each request to a handler.
class HttpServer {
public:
    HttpServer(asio::io_context&, HttpLimits, HttpHandler);

    /// Binds and starts to accept connections; with port 0 the kernel chooses the port. Returns the bound endpoint.
    Result<Endpoint> listen(const Endpoint&);

    /// The limits apply to requests that the server starts to read after this call.
    void setLimits(HttpLimits limits) { m_limits = limits; }

    /// Stops accepting connections; open connections are kept.
    void close();

private:
    Awaitable<> acceptLoop();
    Awaitable<> serve(asio::ip::tcp::socket);
    Awaitable<boost::system::error_code> readRequest(beast::tcp_stream&, beast::flat_buffer&, http::request_parser<http::string_body>&, Clock::duration headerReadTimeout);

    asio::io_context& m_context;
    HttpLimits m_limits;
    HttpHandler m_handler;
    asio::ip::tcp::acceptor m_acceptor;
};

}
