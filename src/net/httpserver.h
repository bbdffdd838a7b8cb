#pragma once

#include "common/random.h"
#include "net/httpexchange.h"

#include <functional>
#include <list>
#include <memory>
#include <vector>

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

enum class ConnectionState {
    /// No byte of the next request has been read.
    Idle,
    /// A request is expected on a new connection or has been read in part.
    Reading,
    /// A handler runs; its answer may have been sent in part.
    Handling,
    /// The last answer was sent; the caller may not have read all of it.
    Closing,
};

const char* toString(ConnectionState);

/// Number of open connections by state.
struct ConnectionCounts {
    std::size_t idle = 0;
    std::size_t reading = 0;
    std::size_t handling = 0;
    std::size_t closing = 0;

    /// Connections on which closing the socket now could lose a request or an answer.
    std::size_t busy() const { return reading + handling + closing; }

    friend bool operator==(const ConnectionCounts&, const ConnectionCounts&) = default;
};

/// Description of an open connection, for logs.
struct OpenConnection {
    Endpoint caller;
    ConnectionState state = ConnectionState::Idle;
    std::size_t unreadBytes = 0;

    friend bool operator==(const OpenConnection&, const OpenConnection&) = default;
};

/// Accepts connections and passes each request to a handler.
class HttpServer {
public:
    HttpServer(asio::io_context&, HttpLimits, HttpHandler);

    /// Binds and starts to accept connections; with port 0 the kernel chooses the port. Returns the bound endpoint.
    Result<Endpoint> listen(const Endpoint&);

    /// The limits apply to requests that the server starts to read after this call.
    void setLimits(HttpLimits limits) { m_limits = limits; }

    /// Connections accepted from now on share the budget.
    void setBudget(std::shared_ptr<MemoryBudget> budget) { m_budget = std::move(budget); }

    /// Stops accepting connections; open connections are kept.
    void close();

    /// Closes idle connections, and from now on each connection after its answer.
    void closeIdleConnections();

    ConnectionCounts connectionCounts() const;
    std::vector<OpenConnection> openConnections() const;

private:
    struct Connection;
    using Connections = std::list<Connection*>;

    Awaitable<> acceptLoop();
    Awaitable<> serve(asio::ip::tcp::socket);
    Awaitable<> serveRequests(Connection&);
    Awaitable<bool> waitForRequest(Connection&);
    Awaitable<boost::system::error_code> receiveSome(Connection&);
    Awaitable<boost::system::error_code> readRequest(Connection&, HttpRequestParser&);
    Awaitable<> refuseUnread(Connection&, const boost::system::error_code&);

    asio::io_context& m_context;
    HttpLimits m_limits;
    HttpHandler m_handler;
    asio::ip::tcp::acceptor m_acceptor;
    /// Shared with the coroutines that serve them, which the context destroys after this object.
    std::shared_ptr<Connections> m_connections = std::make_shared<Connections>();
    std::shared_ptr<MemoryBudget> m_budget;
    Random m_random = randomFromSystem();
    bool m_keepsConnections = true;
};

}
