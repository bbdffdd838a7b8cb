#pragma once

#include "net/nettypes.h"

#include <functional>
#include <map>
#include <memory>

namespace guavaspan {

using HttpHeaders = std::map<std::string, std::string>;

/// A reply that is sent whole.
struct Reply {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    HttpHeaders headers;
};

/// One request and the means to answer it, whole or as a stream of events.
class HttpExchange {
public:
    HttpExchange(beast::tcp_stream&, HttpRequest, Endpoint remote, Clock::duration writeTimeout);
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    const HttpRequest& request() const { return m_request; }
    const Endpoint& remote() const { return m_remote; }
    std::string path() const;
    std::string query(std::string_view name) const;
    std::string header(std::string_view name) const;
    bool answered() const { return m_answered; }
    bool keepAlive() const { return m_keepAlive; }

    /// The connection ends with this answer, and the caller is told.
    void closeAfterResponse() { m_keepAlive = false; }

    Awaitable<> send(Reply);

    /// Sends a response as it is, but for what concerns the connection.
    Awaitable<> sendResponse(HttpResponse);

    /// Sends a header whose body follows by writeEvents.
    Awaitable<Result<void>> beginResponse(http::response<http::empty_body>);
    Awaitable<Result<void>> beginEvents(HttpHeaders);
    Awaitable<Result<void>> writeEvents(std::string);
    Awaitable<> endEvents();

    /// Closes the connection so that the caller sees an abrupt end.
    void abort();

    /// Calls back once if the caller closes its side before the answer is complete.
    void onCallerDisconnect(std::function<void()>);
    bool callerDisconnected() const;

private:
    struct DisconnectWatch;

    beast::tcp_stream& m_stream;
    HttpRequest m_request;
    Endpoint m_remote;
    Clock::duration m_writeTimeout;
    std::shared_ptr<DisconnectWatch> m_watch;
    bool m_answered = false;
    bool m_keepAlive = true;
};

}
