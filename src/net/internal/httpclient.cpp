#include "net/httpclient.h"

#include "net/internal/httpconnect.h"

namespace guavaspan {

Awaitable<Result<HttpResponse>> callHttp(HttpCall call)
{
    auto deadline = Clock::now() + call.timeout;
    auto executor = co_await asio::this_coro::executor;
    beast::tcp_stream stream(executor);
    auto connected = co_await connectTo(stream, call.endpoint, call.timeout);
    if (!connected)
        co_return connected.error();
    auto sent = co_await sendRequest(stream, call, deadline);
    if (!sent)
        co_return sent.error();

    beast::flat_buffer buffer(maxUnparsedBytes);
    http::response_parser<http::string_body> parser;
    parser.header_limit(maxResponseHeaderBytes);
    parser.body_limit(call.maxResponseBytes);
    bool headerIsRead = false;
    while (!parser.is_done()) {
        // The timer of tcp_stream does not end a read whose bytes have already arrived, so a fast sender outlasts it.
        if (Clock::now() >= deadline)
            co_return linkError(beast::error::timeout, Step::ReadReply, call.endpoint);
        auto [error, bytes] = co_await http::async_read_some(stream, buffer, parser, asTuple);
        if (error)
            co_return linkError(error, Step::ReadReply, call.endpoint);
        if (headerIsRead || !parser.is_header_done())
            continue;
        headerIsRead = true;
        deadline = std::max<TimePoint>(deadline, Clock::now() + call.bodyTimeout);
        stream.expires_at(deadline);
    }
    if (!isFinalStatus(parser.get().result_int()))
        co_return statusError(parser.get().result_int(), toString(call.endpoint));
    co_return parser.release();
}

}
