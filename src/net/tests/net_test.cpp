#include "net/eventstreamreader.h"
#include "net/httpserver.h"

#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// Server that responds with the length of the request body, and a client that sends raw bytes to it.
struct ServerFixture {
    asio::io_context context;
    HttpServer server { context, HttpLimits { .maxBodyBytes = 1000, .maxHeaderBytes = 2000, .headerTimeout = Milliseconds(200), .idleTimeout = Milliseconds(200) }, [](HttpExchange& exchange) -> Awaitable<> {
                           Reply reply { .body = std::to_string(exchange.request().body().size()) };
                           co_await exchange.send(std::move(reply));
                       } };
    Endpoint endpoint = *server.listen({ .address = "127.0.0.1" });

    std::string exchange(const std::string& bytes)
    {
        std::string response;
        asio::co_spawn(
            context, [&]() -> Awaitable<> {
                asio::ip::tcp::socket socket(context);
                asio::ip::tcp::endpoint remote(asio::ip::make_address(endpoint.address), endpoint.port);
                co_await socket.async_connect(remote, asTuple);
                co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
                std::array<char, 4096> chunk {};
                while (true) {
                    auto [error, count] = co_await socket.async_read_some(asio::buffer(chunk), asTuple);
                    response.append(chunk.data(), count);
                    if (error)
                        break;
                }
                context.stop(); }, asio::detached);
        context.restart();
        context.run();
        return response;
    }
};

}

Test(HttpServer, request_malformedTooLargeOrIncomplete_getsErrorStatus)
{
    ServerFixture f;
    cr_expect(f.exchange("POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc").find("\r\n\r\n3") != std::string::npos);
    cr_expect(f.exchange("nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    cr_expect(f.exchange("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n").starts_with("HTTP/1.1 413"));
    cr_expect(f.exchange("GET / HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n").starts_with("HTTP/1.1 431"));
    cr_expect(f.exchange("GET / HTTP/1.1\r\nHost").starts_with("HTTP/1.1 408"), "the header is not completed within its timeout");
    cr_expect(f.exchange("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nab").starts_with("HTTP/1.1 408"));
}

Test(EventStreamSplitter, stream_anyChunkBoundaries_givesSameEvents)
{
    const std::string stream = "id: 1\ndata: one\n\n: comment\n\nevent: e\r\nid: 2\r\ndata: two\r\ndata: more\r\n\r\ndata: last\n\n";
    for (std::size_t chunkSize = 1; chunkSize <= stream.size(); ++chunkSize) {
        EventStreamSplitter splitter;
        for (std::size_t offset = 0; offset < stream.size(); offset += chunkSize)
            splitter.feed(std::string_view(stream).substr(offset, chunkSize));
        auto first = splitter.next();
        auto second = splitter.next();
        auto third = splitter.next();
        cr_assert(first && second && third);
        cr_expect(*first == (ServerSentEvent { .id = "1", .data = "one" }));
        cr_expect(*second == (ServerSentEvent { .id = "2", .event = "e", .data = "two\nmore" }));
        cr_expect(third->data == "last");
        cr_expect_not(splitter.next().has_value());
    }
}

Test(Endpoint, parseEndpoint_hostNameOrInvalidPort_isRejected)
{
    cr_expect(parseEndpoint("127.0.0.1:80") == (Endpoint { .address = "127.0.0.1", .port = 80 }));
    cr_expect(toString(*parseEndpoint("[::1]:80")) == "[::1]:80");
    for (const char* invalid : { "", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", "127.0.0.1:8x" })
        cr_expect_not(parseEndpoint(invalid).has_value(), "%s", invalid);
}
