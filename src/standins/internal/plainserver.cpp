#include "standins/plainserver.h"

#include <nlohmann/json.hpp>

namespace guavaspan::standins {

namespace {

    using nlohmann::json;

}

PlainServer::PlainServer(asio::io_context& context)
    : m_server(context, HttpLimits {}, [this](HttpExchange& exchange) { return handle(exchange); })
{
}

Result<Endpoint> PlainServer::listen(const Endpoint& endpoint)
{
    return m_server.listen(endpoint);
}

Awaitable<> PlainServer::handle(HttpExchange& exchange)
{
    auto path = exchange.path();
    if (path == "/executions") {
        Reply counts { .body = json(m_executionsByOrder).dump() };
        co_await exchange.send(std::move(counts));
        co_return;
    }
    if (path == "/faults") {
        auto faults = json::parse(exchange.request().body(), nullptr, false);
        m_responseDelay = Milliseconds(faults.value("delay_ms", 0));
        m_responsesToDrop = faults.value("lose_answers", 0);
        Reply emptyReply { .body = "{}" };
        co_await exchange.send(std::move(emptyReply));
        co_return;
    }
    // The body identifies the order, so that tests can compare executions with the orders sent.
    auto orderId = exchange.request().body();
    int executionCount = ++m_executionsByOrder[orderId];
    if (m_responseDelay.count() > 0)
        co_await sleepFor(m_responseDelay);
    if (m_responsesToDrop > 0) {
        --m_responsesToDrop;
        exchange.abort();
        co_return;
    }
    Reply reply { .body = json { { "order", orderId }, { "path", path }, { "execution", executionCount } }.dump() };
    co_await exchange.send(std::move(reply));
}

}
