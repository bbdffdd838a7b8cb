#include "net/tests/runcoroutine.h"
#include "relay/targetconnection.h"

#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// More than the socket buffers of both ends hold, so that sending is still pending when the answer ends.
constexpr std::size_t longRequestBytes = 16 << 20;
constexpr std::size_t shortRequestBytes = 100;
constexpr int receiveBufferBytes = 32 << 10;
constexpr auto connectTimeout = Seconds(2);
const std::string unframedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const std::string answerBody = "id: 1\ndata: x\n\n";
/// Before and after the end of the answer.
constexpr std::array readDelays { Milliseconds(0), Milliseconds(300) };

enum class AnswerEnd {
    Reset,
    /// The target ends its answer in order and reads on.
    Closed,
    /// The target ends its answer in order, then resets the connection instead of reading the rest of the request.
    ClosedThenReset,
};

/// A target that answers without a length while the request's body is still being sent.
struct EarlyAnswerFixture {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor { context };
    AnswerEnd end;
    std::string head;

    explicit EarlyAnswerFixture(AnswerEnd answerEnd, std::string answerHead = unframedHead)
        : end(answerEnd)
        , head(std::move(answerHead))
    {
        acceptor.open(asio::ip::tcp::v4());
        acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        acceptor.bind({ asio::ip::make_address("127.0.0.1"), 0 });
        acceptor.listen();
        asio::co_spawn(context, answer(), asio::detached);
    }

    Awaitable<> answer()
    {
        constexpr auto pause = Milliseconds(50);
        auto [error, socket] = co_await acceptor.async_accept(asTuple);
        std::array<char, 4096> chunk {};
        co_await socket.async_read_some(asio::buffer(chunk), asTuple);
        auto bytes = head + answerBody;
        co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
        co_await sleepFor(pause);
        if (end != AnswerEnd::Reset)
            socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        if (end == AnswerEnd::ClosedThenReset)
            co_await sleepFor(pause);
        if (end != AnswerEnd::Closed)
            socket.set_option(asio::socket_base::linger(true, 0));
        while (end == AnswerEnd::Closed) {
            auto [readError, count] = co_await socket.async_read_some(asio::buffer(chunk), asTuple);
            if (readError)
                co_return;
        }
        // The destructor would not reset the connection.
        socket.close();
    }

    /// Reads the answer's body after a delay, by which the target may have ended or reset the connection.
    Awaitable<Result<std::string>> ask(Milliseconds readDelay, std::size_t requestBytes = longRequestBytes)
    {
        TargetConnection connection(context.get_executor());
        HttpRequest request { http::verb::post, "/", 11 };
        request.body().assign(requestBytes, 'b');
        request.prepare_payload();
        Endpoint endpoint { .address = "127.0.0.1", .port = acceptor.local_endpoint().port() };
        auto opened = co_await connection.open(endpoint, std::move(request), connectTimeout);
        if (!opened)
            co_return opened.error();
        connection.setDeadline(Clock::now() + connectTimeout);
        auto header = co_await connection.readHeader();
        if (!header)
            co_return header.error();
        co_await sleepFor(readDelay);
        co_return co_await connection.readAll();
    }
};

}

/// Guards against MIXED and ORDER: an answer without a length that was reset looked complete, since the pending send took the reset.
Test(TargetConnection, resetWhileRequestIsBeingSent_unframedAnswerIsBroken)
{
    for (auto delay : readDelays) {
        EarlyAnswerFixture f(AnswerEnd::Reset);
        auto body = runCoroutine(f.context, f.ask(delay));
        cr_assert(!body, "the answer counts as complete: %s", body->c_str());
        cr_expect(body.error().code == ErrorCode::LinkBroken);
        cr_expect(body.error().detail.find("request was being sent") != std::string::npos, "%s", body.error().detail.c_str());
    }
}

Test(TargetConnection, resetAfterRequestWasSent_unframedAnswerIsBroken)
{
    for (auto delay : readDelays) {
        EarlyAnswerFixture f(AnswerEnd::Reset);
        auto body = runCoroutine(f.context, f.ask(delay, shortRequestBytes));
        cr_assert(!body);
        cr_expect(body.error().code == ErrorCode::LinkBroken);
    }
}

Test(TargetConnection, resetWhileRequestIsBeingSent_answerWithLengthIsBroken)
{
    for (auto delay : readDelays) {
        EarlyAnswerFixture f(AnswerEnd::Reset, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
        auto body = runCoroutine(f.context, f.ask(delay));
        cr_assert(!body);
        cr_expect(body.error().code == ErrorCode::LinkBroken);
    }
}

Test(TargetConnection, closeWhileRequestIsBeingSent_unframedAnswerIsComplete)
{
    for (auto delay : readDelays) {
        for (auto end : { AnswerEnd::Closed, AnswerEnd::ClosedThenReset }) {
            EarlyAnswerFixture f(end);
            auto body = runCoroutine(f.context, f.ask(delay));
            cr_assert(body.has_value(), "%s", body.error().detail.c_str());
            cr_expect_eq(*body, answerBody);
        }
    }
}
