#pragma once

#include "net/httprequest.h"
#include "net/memorybudget.h"

#include <functional>
#include <map>
#include <memory>

namespace guavaspan {

using HttpHeaders = std::map<std::string, std::string>;

/// A response that is sent in one piece.
struct Reply {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    HttpHeaders headers;
};

/// A received request and the operations to answer it, in one piece or as a stream of events.
class HttpExchange {
public:
    HttpExchange(beast::tcp_stream&, HttpRequest, Endpoint remote, Clock::duration writeTimeout, MemoryAccount* account = nullptr);
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    const HttpRequest& request() const { return m_request; }
    const Endpoint& remote() const { return m_remote; }
    std::string path() const;
    std::string query(std::string_view name) const;
    std::string header(std::string_view name) const;
    bool responseStarted() const { return m_responseStarted; }
    bool keepAlive() const { return m_keepAlive; }

    /// Tells whether the caller has already sent more on the connection.
    void setFollowingBytes(std::function<bool()> hasFollowingBytes) { m_hasFollowingBytes = std::move(hasFollowingBytes); }

    /// Closes the connection after the response and announces this in its Connection header, unless the caller has already sent its
    /// next request.
    void closeAfterResponse() { m_closesAfterResponse = true; }

    /// Counts an answer of this size, which is read before it is sent, as held for the caller. False if there is no room for it.
    bool holdAnswer(std::size_t bytes);

    Awaitable<> send(Reply);

    /// Sends a response unchanged except for the headers on connection and body length.
    Awaitable<> sendResponse(HttpResponse);

    /// Sends the header of a response; the body follows through writeEvents().
    Awaitable<Result<void>> beginResponse(http::response<http::empty_body>);
    Awaitable<Result<void>> beginEvents(HttpHeaders);
    /// With a memory budget, what a slow caller does not take yet is kept up to a bound, beyond which this waits.
    Awaitable<Result<void>> writeEvents(std::string);
    Awaitable<> endEvents();

    /// Waits until the caller has taken the events that are kept for it, or cannot.
    Awaitable<> drain() { return sendBacklog(0); }

    /// Shuts the connection down at once, so that the caller detects an incomplete response.
    void abort();

    /// Calls the callback once if the caller closes the connection before the response is complete.
    void onCallerDisconnect(std::function<void()>);
    bool callerDisconnected() const;

private:
    struct DisconnectWatch;
    struct Backlog;

    void decideKeepAlive();
    Awaitable<Result<void>> writeOrKeep(std::string);
    Awaitable<> sendBacklog(std::size_t maxBytesLeft);
    Error callerError(const boost::system::error_code&);

    beast::tcp_stream& m_stream;
    HttpRequest m_request;
    Endpoint m_remote;
    Clock::duration m_writeTimeout;
    /// The connection's share of the memory budget; null without one.
    MemoryAccount* m_account;
    std::size_t m_heldAnswer = 0;
    std::shared_ptr<DisconnectWatch> m_watch;
    std::shared_ptr<Backlog> m_backlog;
    std::function<bool()> m_hasFollowingBytes;
    bool m_closesAfterResponse = false;
    bool m_responseStarted = false;
    bool m_keepAlive = true;
};

}
