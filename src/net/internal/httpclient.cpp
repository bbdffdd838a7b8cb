#include "net/httpclient.h"

#include "net/internal/httpconnect.h"

namespace guavaspan {

Awaitable<Result<HttpResponse>> callHttp(HttpCall call)
{
    auto executor = co_await asio::this_coro::executor;
    beast::tcp_stream stream(executor);
    auto connected = co_await connectTo(stream, call.endpoint, call.timeout);
    if (!connected)
        co_return connected.error();
    auto sent = co_await sendRequest(stream, call);
    if (!sent)
        co_return sent.error();

    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(call.maxResponseBytes);
    auto [error, bytes] = co_await http::async_read(stream, buffer, parser, asTuple);
    if (error)
        co_return linkError(error, Step::ReadReply, call.endpoint);
    co_return parser.release();
}

}
