#pragma once

#include "net/httpserver.h"

#include <map>

namespace guavaspan::standins {

/// An HTTP service without a model that counts the executions of each order, given by the request body.
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
