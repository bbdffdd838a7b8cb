#include "net/eventloop.h"
#include "net/httpserver.h"
#include "net/tests/askserver.h"

#include <boost/asio/post.hpp>
#include <criterion/criterion.h>
#include <stdexcept>

using namespace guavaspan;

namespace {

Awaitable<> failOnRequest(HttpExchange& exchange)
{
    if (exchange.path() == "/fails")
        throw std::length_error("too long");
    Reply reply { .body = "done" };
    co_await exchange.send(std::move(reply));
}

Awaitable<> askTwice(asio::io_context& context, Endpoint server, std::string& failed, std::string& answered)
{
    std::string failingRequest = "GET /fails HTTP/1.1\r\nConnection: close\r\n\r\n";
    std::string soundRequest = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
    co_await askServer(context, server, failingRequest, failed);
    co_await askServer(context, server, soundRequest, answered);
    context.stop();
}

}

/// Guards against LOST: an exception that left the handler of one connection ended the process.
Test(EventLoop, handlerThrows_otherHandlersRunAndFailureIsCounted)
{
    asio::io_context context;
    bool ran = false;
    auto failuresBefore = failedHandlers();
    asio::post(context, [] { throw std::length_error("field value too large"); });
    asio::post(context, [&] { ran = true; });
    runEventLoop(context);
    cr_expect(ran);
    cr_expect_eq(failedHandlers(), failuresBefore + 1);
}

Test(EventLoop, coroutineOfOneConnectionThrows_isCountedAndOthersAreServed)
{
    asio::io_context context;
    HttpServer server(context, {}, failOnRequest);
    auto endpoint = *server.listen({ .address = "127.0.0.1" });
    auto failuresBefore = failedHandlers();
    std::string failed;
    std::string answered;
    asio::co_spawn(context, askTwice(context, endpoint, failed, answered), asio::detached);
    runEventLoop(context);
    cr_expect(failed.empty());
    cr_expect(answered.starts_with("HTTP/1.1 200"), "%s", answered.c_str());
    cr_expect_eq(failedHandlers(), failuresBefore + 1);
}
