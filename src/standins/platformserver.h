#pragma once

#include "net/httpserver.h"
#include "standins/keyvaluemodel.h"

#include <deque>
#include <map>

namespace guavaspan::standins {

/// Faults of the platform that tests switch at run time.
struct PlatformFaults {
    bool outage = false;
    Milliseconds delay { 0 };
    /// Number of writes that take effect and whose answers are then lost.
    int responsesToDrop = 0;
};

/// Key-value service and instance list behind one port.
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
