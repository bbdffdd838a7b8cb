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
    std::string answerKeyValue(const std::string& path, const std::string& body);
    Reply answerList(HttpExchange&);
    Reply setFaults(const std::string& body);
    Reply counters() const;

    HttpServer m_server;
    KeyValueModel m_model;
    PlatformFaults m_faults;
    RateLimit m_reads { 2000 };
    RateLimit m_writes { 400 };
    std::uint64_t m_readCalls = 0;
    std::uint64_t m_writeCalls = 0;
    std::uint64_t m_limitedCalls = 0;
    Milliseconds m_listLag { 500 };
    std::deque<std::pair<TimePoint, std::string>> m_lists;
};

}
