#include "net/httpserver.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace guavaspan;

namespace {

constexpr std::size_t eventBytes = 1000;
constexpr auto step = Milliseconds(200);

/// A server with a budget whose streams write as many events as asked for, and callers with small receive buffers.
struct StreamFixture {
    explicit StreamFixture(std::size_t budgetBytes)
        : budget(std::make_shared<MemoryBudget>(MemoryLimits { .bytes = budgetBytes }))
    {
        server.setBudget(budget);
    }

    Awaitable<> serve(HttpExchange& exchange)
    {
        auto& count = written[exchange.path()];
        if (!co_await exchange.beginEvents({}))
            co_return;
        auto asked = std::stoul(exchange.query("events"));
        for (std::size_t number = 0; number < asked; ++number) {
            auto text = fmt::format("id: {}\ndata: ", number);
            text.resize(eventBytes, 'a');
            if (!co_await exchange.writeEvents(text)) {
                broken.push_back(exchange.path());
                co_return;
            }
            ++count;
        }
        if (exchange.path() == "/broken") {
            co_await exchange.drain();
            exchange.abort();
            co_return;
        }
        co_await exchange.endEvents();
    }

    asio::ip::tcp::socket ask(const std::string& path, std::size_t events)
    {
        constexpr int receiveBufferBytes = 4096;
        asio::ip::tcp::socket caller(context);
        caller.open(asio::ip::tcp::v4());
        caller.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        caller.connect({ asio::ip::make_address(endpoint.address), endpoint.port });
        asio::write(caller, asio::buffer(fmt::format("GET {}?events={} HTTP/1.1\r\nConnection: close\r\n\r\n", path, events)));
        context.restart();
        context.run_for(step);
        return caller;
    }

    /// Reads while the server runs, until the connection ends or nothing comes any more.
    std::string readToEnd(asio::ip::tcp::socket& caller)
    {
        caller.non_blocking(true);
        std::string bytes;
        std::array<char, 65536> chunk {};
        for (auto deadline = Clock::now() + Seconds(10); Clock::now() < deadline;) {
            context.restart();
            context.run_for(Milliseconds(1));
            boost::system::error_code error;
            bytes.append(chunk.data(), caller.read_some(asio::buffer(chunk), error));
            if (error && error != asio::error::would_block)
                break;
        }
        return bytes;
    }

    std::map<std::string, std::size_t> written;
    std::vector<std::string> broken;
    asio::io_context context;
    std::shared_ptr<MemoryBudget> budget;
    HttpServer server { context, HttpLimits {}, [this](HttpExchange& exchange) { return serve(exchange); } };
    Endpoint endpoint = *server.listen({ .address = "127.0.0.1" });
};

/// Counts the events that are whole and in order.
std::size_t eventsInOrder(const std::string& answer)
{
    std::size_t position = 0;
    std::size_t count = 0;
    while (true) {
        position = answer.find(fmt::format("id: {}\n", count), position);
        if (position == std::string::npos)
            return count;
        ++count;
    }
}

}

/// Guards against engines that cut off an answer because its caller reads slowly: what the caller has not taken was left at the engine.
Test(SlowReader, generation_isReadOnAndDeliveredInOrder)
{
    constexpr std::size_t events = 300;
    StreamFixture f(8 << 20);
    auto caller = f.ask("/slow", events);
    cr_expect_eq(f.written["/slow"], events, "%zu events taken from the engine", f.written["/slow"]);
    cr_expect_gt(f.budget->heldBytes(MemoryUse::Answer), 0, "what the caller has not taken is counted");
    auto answer = f.readToEnd(caller);
    cr_expect_eq(eventsInOrder(answer), events);
    cr_expect(answer.ends_with("0\r\n\r\n"));
    caller.close();
    f.context.restart();
    f.context.run_for(step);
    cr_expect_eq(f.budget->heldBytes(), 0);
}

/// Guards against LOST: tokens that were charged ended with the engine's stream, because the caller had not taken them yet.
Test(SlowReader, brokenGeneration_isDeliveredAsFarAsItCame)
{
    constexpr std::size_t events = 300;
    StreamFixture f(8 << 20);
    auto caller = f.ask("/broken", events);
    auto answer = f.readToEnd(caller);
    cr_expect_eq(eventsInOrder(answer), events);
    cr_expect_not(answer.ends_with("0\r\n\r\n"), "the caller must see that the answer is incomplete");
}

/// Guards against a buffer without a bound for each stream.
Test(SlowReader, streamBeyondItsBound_isNotReadOn)
{
    StreamFixture f(8 << 20);
    auto caller = f.ask("/endless", 4000);
    cr_expect_lt(f.written["/endless"], 1200, "%zu events", f.written["/endless"]);
    cr_expect_leq(f.budget->heldBytes(MemoryUse::Answer), 1 << 20);
    cr_expect_eq(eventsInOrder(f.readToEnd(caller)), 4000);
}

/// Guards against neighbours that pay for a caller that does not read: with the budget used up, the slowest caller's stream is cut.
Test(SlowReader, budgetUsedUp_cutsTheStreamUnreadForLongest)
{
    StreamFixture f(400 << 10);
    auto slowest = f.ask("/slowest", 4000);
    auto second = f.ask("/second", 4000);
    cr_expect(f.broken == std::vector<std::string> { "/slowest" });
    cr_expect_eq(eventsInOrder(f.readToEnd(second)), 4000);
    cr_expect_lt(eventsInOrder(f.readToEnd(slowest)), 4000);
}
