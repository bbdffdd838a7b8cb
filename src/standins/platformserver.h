#pragma once

#include "net/httpserver.h"
#include "standins/keyvaluemodel.h"

#include <deque>
#include <map>

namespace guavaspan::standins {

/// Faults that tests inject into the platform services at run time through /faults.
struct PlatformFaults {
    /// Closes the connection of every key-value call without executing it.
    bool outage = false;
    Milliseconds delay { 0 };
    /// Number of writes that are executed but whose connection is closed before the response.
    int responsesToDrop = 0;
};

/// Serves the platform's key-value service and instance list on one port.
class PlatformServer {
public:
    explicit PlatformServer(asio::io_context&);
    Result<Endpoint> listen(const Endpoint&);

private:
    Awaitable<> handle(HttpExchange&);
    Awaitable<> handleKeyValue(HttpExchange&);
    std::string executeKeyValueCall(const std::string& path, const std::string& body);
    Reply handleInstanceList(HttpExchange&);
    Reply setFaults(const std::string& body);
    Reply countersReply() const;

    HttpServer m_server;
    KeyValueModel m_model;
    PlatformFaults m_faults;
    RateLimiter m_readLimiter { 2000 };
    RateLimiter m_writeLimiter { 400 };
    std::uint64_t m_readCalls = 0;
    std::uint64_t m_writeCalls = 0;
    std::uint64_t m_rateLimitedCalls = 0;
    Milliseconds m_instanceListDelay { 500 };
    std::deque<std::pair<TimePoint, std::string>> m_instanceLists;
};

}
