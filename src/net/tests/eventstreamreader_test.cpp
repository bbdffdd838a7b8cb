#include "net/eventstreamreader.h"
#include "net/tests/endlessserver.h"
#include "net/tests/runcoroutine.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// Reads events from a server whose answer does not end.
struct EndlessStreamFixture {
    static constexpr auto timeout = Milliseconds(400);
    static constexpr auto silenceLimit = Milliseconds(400);
    static constexpr std::uint64_t maxEventBytes = 1 << 20;

    explicit EndlessStreamFixture(EndlessAnswer answer)
        : server(std::move(answer))
    {
        PeakMemory memory;
        asio::co_spawn(context, read(), asio::detached);
        context.run();
        memoryGrowth = memory.growth();
        report = server.waitUntilClosed();
    }

    Awaitable<> read()
    {
        auto startedAt = Clock::now();
        {
            EventStreamReader reader(context.get_executor());
            HttpCall call { .endpoint = server.endpoint(), .timeout = timeout };
            auto status = co_await reader.open(std::move(call));
            opened = status && *status == 200;
            if (opened) {
                auto event = co_await reader.next(silenceLimit);
                failed = !event;
            }
        }
        took = Clock::now() - startedAt;
    }

    EndlessServer server;
    asio::io_context context;
    bool opened = false;
    bool failed = false;
    Clock::duration took {};
    std::uint64_t memoryGrowth = 0;
    EndlessServerReport report;
};

}

/// Guards against an engine's event stream that holds a generation for ever, or takes all memory, without an event.
Test(EventStreamReader, answerWithoutEnd_failsWithinSilenceLimitAndSize)
{
    const std::string header = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = header + "Transfer-Encoding: chunked\r\n\r\n";
    auto answers = endlessAnswers("HTTP/1.1 200 OK\r\n");
    answers.push_back({ .name = "line", .start = header + "\r\nid: 1\ndata: ", .repeated = "a" });
    answers.push_back({ .name = "event", .start = header + "\r\nid: 1\n", .repeated = "data: a\n" });
    answers.push_back({ .name = "comments", .start = header + "\r\n", .repeated = ": wait\n" });
    answers.push_back({ .name = "events without data", .start = header + "\r\n", .repeated = "id: 1\n\n" });
    answers.push_back({ .name = "comments, one at a time", .start = header + "\r\n", .repeated = ": wait\n\n", .pause = Milliseconds(20) });
    for (auto& answer : answers) {
        EndlessStreamFixture f(answer);
        auto name = answer.name.c_str();
        cr_expect(!f.opened || f.failed, "%s: an event was returned", name);
        cr_expect(f.took <= f.timeout + f.silenceLimit + endlessTimeMargin, "%s: took %.2f s", name, std::chrono::duration<double>(f.took).count());
        cr_expect(f.report.abandoned == 0, "%s: the connection was not closed", name);
        cr_expect(f.memoryGrowth <= maxMemoryGrowth(f.maxEventBytes), "%s: memory grew by %lu bytes", name, static_cast<unsigned long>(f.memoryGrowth));
    }
}
