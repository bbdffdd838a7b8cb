#include "net/httpclient.h"
#include "net/tests/endlessserver.h"
#include "net/tests/runcoroutine.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// Calls a server whose answer does not end.
struct EndlessCallFixture {
    static constexpr auto timeout = Milliseconds(400);
    static constexpr std::uint64_t maxResponseBytes = 1 << 20;

    explicit EndlessCallFixture(EndlessAnswer answer)
        : server(std::move(answer))
    {
        PeakMemory memory;
        auto startedAt = Clock::now();
        result = runCoroutine(context, callHttp({ .endpoint = server.endpoint(), .timeout = timeout, .maxResponseBytes = maxResponseBytes }));
        took = Clock::now() - startedAt;
        memoryGrowth = memory.growth();
        report = server.waitUntilClosed();
    }

    EndlessServer server;
    asio::io_context context;
    Result<HttpResponse> result = Error {};
    Clock::duration took {};
    std::uint64_t memoryGrowth = 0;
    EndlessServerReport report;
};

}

/// Guards against a call that never returns, or takes all memory, because a server sends without end.
Test(HttpClient, answerWithoutEnd_failsWithinTimeoutAndSize)
{
    for (auto& answer : endlessAnswers("HTTP/1.1 200 OK\r\n")) {
        EndlessCallFixture f(answer);
        auto name = answer.name.c_str();
        cr_expect(f.result.has_error(), "%s: a response was returned", name);
        cr_expect(f.took <= f.timeout + endlessTimeMargin, "%s: took %.2f s", name, std::chrono::duration<double>(f.took).count());
        cr_expect(f.memoryGrowth <= maxMemoryGrowth(f.maxResponseBytes), "%s: memory grew by %lu bytes", name, static_cast<unsigned long>(f.memoryGrowth));
        cr_expect(f.report.connections == 1 && f.report.abandoned == 0, "%s: the connection was not closed", name);
    }
}

/// Guards against MIXED: an answer with status 000, or with one beyond those of HTTP, was returned as an answer.
Test(HttpClient, statusIsNoFinalHttpStatus_isABadReply)
{
    for (const char* status : { "000", "100", "199", "600", "999" }) {
        EndlessCallFixture f({ .name = status, .start = std::string("HTTP/1.1 ") + status + " None\r\nContent-Length: 4\r\n\r\ndone", .repeated = "a" });
        cr_assert(f.result.has_error(), "%s was returned", status);
        cr_expect(f.result.error().code == ErrorCode::BadReply && f.result.error().outcome == Outcome::Unknown, "%s", status);
    }
}
