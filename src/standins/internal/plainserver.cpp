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
        Reply counts { .body = json(m_executions).dump() };
        co_await exchange.send(std::move(counts));
        co_return;
    }
    if (path == "/faults") {
        auto faults = json::parse(exchange.request().body(), nullptr, false);
        m_delay = Milliseconds(faults.value("delay_ms", 0));
        m_loseAnswers = faults.value("lose_answers", 0);
        Reply done { .body = "{}" };
        co_await exchange.send(std::move(done));
        co_return;
    }
    // The body names the order, so that executions can be held against orders.
    auto order = exchange.request().body();
    int count = ++m_executions[order];
    if (m_delay.count() > 0)
        co_await sleepFor(m_delay);
    if (m_loseAnswers > 0) {
        --m_loseAnswers;
        exchange.abort();
        co_return;
    }
    Reply reply { .body = json { { "order", order }, { "path", path }, { "execution", count } }.dump() };
    co_await exchange.send(std::move(reply));
}

}
