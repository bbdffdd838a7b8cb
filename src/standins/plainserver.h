#pragma once

#include "net/httpserver.h"

#include <map>

namespace guavaspan::standins {

/// A plain HTTP service, as opposed to a model engine. Counts the executions of each order; the request body is the order's id.
class PlainServer {
public:
    explicit PlainServer(asio::io_context&);
    Result<Endpoint> listen(const Endpoint&);

private:
    Awaitable<> handle(HttpExchange&);

    HttpServer m_server;
    std::map<std::string, int> m_executionsByOrder;
    Milliseconds m_responseDelay { 0 };
    int m_responsesToDrop = 0;
};

}
