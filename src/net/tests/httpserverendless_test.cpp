#include "net/httpserver.h"
#include "net/tests/endlessserver.h"

#include <criterion/criterion.h>
#include <functional>

using namespace guavaspan;

namespace {

Awaitable<> sendEmptyReply(HttpExchange& exchange)
{
    Reply reply;
    co_await exchange.send(std::move(reply));
}

/// Runs the server until the caller, which has a thread of its own, is done.
void serveUntilDone(asio::io_context& io, const std::function<void()>& call)
{
    std::atomic<bool> done = false;
    std::thread caller([&] {
        call();
        done = true;
    });
    while (!done)
        io.run_for(Milliseconds(20));
    caller.join();
}

/// A server and a caller whose request has no end.
struct EndlessCallerFixture {
    static constexpr auto headerTimeout = Milliseconds(400);
    static constexpr std::uint64_t maxBodyBytes = 1 << 20;
    /// Time in which the server reads what follows a request that it has refused.
    static constexpr auto discardTime = Milliseconds(2000);
    static constexpr auto maxTime = headerTimeout * 2 + discardTime + endlessTimeMargin;

    explicit EndlessCallerFixture(const EndlessAnswer& request)
    {
        PeakMemory memory;
        serveUntilDone(io, [&] { send(request); });
        memoryGrowth = memory.growth();
    }

    void send(const EndlessAnswer& request)
    {
        constexpr std::size_t blockBytes = 32 << 10;
        std::string block = request.repeated;
        while (request.pause.count() == 0 && block.size() < blockBytes)
            block += request.repeated;
        asio::io_context callerContext;
        asio::ip::tcp::socket socket(callerContext);
        boost::system::error_code error;
        socket.connect({ asio::ip::make_address(endpoint.address), endpoint.port }, error);
        auto startedAt = Clock::now();
        auto rest = request.start;
        std::uint64_t sent = 0;
        while (!error && sent < EndlessServer::maxBytes && Clock::now() - startedAt < EndlessServer::maxTime) {
            sent += asio::write(socket, asio::buffer(rest.empty() ? block : rest), error);
            rest.clear();
            if (request.pause.count() > 0)
                std::this_thread::sleep_for(request.pause);
        }
        closedByServer = error.failed();
        took = Clock::now() - startedAt;
    }

    asio::io_context io;
    HttpServer server { io, HttpLimits { .maxBodyBytes = maxBodyBytes, .headerTimeout = headerTimeout, .idleTimeout = headerTimeout }, sendEmptyReply };
    Endpoint endpoint = *server.listen({ .address = "127.0.0.1" });
    bool closedByServer = false;
    Clock::duration took {};
    std::uint64_t memoryGrowth = 0;
};

}

/// Guards against a caller that takes all memory with a request that has no end.
Test(HttpServer, requestWithoutEnd_connectionIsClosedWithinTimeAndSize)
{
    auto requests = endlessBodies("POST / HTTP/1.1\r\n");
    requests.push_back({ .name = "request line", .start = "GET /", .repeated = "a" });
    requests.push_back({ .name = "header field", .start = "GET / HTTP/1.1\r\nX-Filler: ", .repeated = "a" });
    requests.push_back({ .name = "header fields", .start = "GET / HTTP/1.1\r\n", .repeated = "X-Filler: 1\r\n" });
    for (const auto& request : requests) {
        EndlessCallerFixture f(request);
        auto name = request.name.c_str();
        cr_expect(f.closedByServer, "%s: the connection was not closed", name);
        cr_expect(f.took <= f.maxTime, "%s: took %.2f s", name, std::chrono::duration<double>(f.took).count());
        cr_expect(f.memoryGrowth <= maxMemoryGrowth(f.maxBodyBytes), "%s: memory grew by %lu bytes", name, static_cast<unsigned long>(f.memoryGrowth));
    }
}

namespace {

/// Sends this, then one byte again and again, so fast that the server always finds more to read. True if the server ends the connection
/// in time.
bool isClosedInTime(const Endpoint& server, const std::string& start, Clock::duration maxTime)
{
    asio::io_context callerContext;
    asio::ip::tcp::socket socket(callerContext);
    boost::system::error_code error;
    socket.connect({ asio::ip::make_address(server.address), server.port }, error);
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    asio::write(socket, asio::buffer(start), error);
    auto startedAt = Clock::now();
    while (!error && Clock::now() - startedAt < maxTime)
        asio::write(socket, asio::buffer("a", 1), error);
    return error.failed();
}

}

/// Guards against callers that outlast the time for a request, as the server's cancellation met a read that had just completed.
Test(HttpServer, bytesAlwaysAvailable_connectionIsClosedWithinTime)
{
    constexpr auto headerTimeout = Milliseconds(400);
    for (const char* start : { "GET /", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" }) {
        asio::io_context io;
        HttpServer server { io, HttpLimits { .maxHeaderBytes = 256 << 20, .headerTimeout = headerTimeout }, sendEmptyReply };
        auto endpoint = *server.listen({ .address = "127.0.0.1" });
        bool closed = false;
        serveUntilDone(io, [&] { closed = isClosedInTime(endpoint, start, EndlessCallerFixture::maxTime); });
        cr_expect(closed, "%s: the connection was not closed", start);
    }
}
