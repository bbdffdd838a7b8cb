#include "relay/tests/endlessenginesfixture.h"

#include <criterion/criterion.h>
#include <ctime>
#include <functional>
#include <thread>

using namespace guavaspan;

namespace {

/// Shortest time that a request waits for anything in the relay.
constexpr auto maxDelay = Milliseconds(300);

/// Largest event of a stream.
constexpr std::uint64_t maxEventBytes = 1 << 20;

}

/// Guards against a stream that takes all memory, or looks complete, because an engine sends without end.
Test(StreamRelay, answerWithoutEnd_callerGetsFailureWithinDeadline)
{
    auto answers = endlessAnswers(sealedHeader);
    answers.push_back({ .name = "line", .start = sealedHeader + "\r\nid: 1\ndata: ", .repeated = "a" });
    answers.push_back({ .name = "event", .start = sealedHeader + "\r\nid: 1\n", .repeated = "data: a\n" });
    answers.push_back({ .name = "lines without a field", .start = sealedHeader + "\r\n", .repeated = "junk\n\n" });
    for (const auto& answer : answers) {
        EndlessEnginesFixture f(answer);
        auto received = f.ask("/stream");
        auto name = answer.name.c_str();
        cr_expect(isFailure(received), "%s: the caller received %.40s", name, received.c_str());
        cr_expect(f.took <= f.timeLimit + endlessTimeMargin, "%s: %s", name, f.timing().c_str());
        cr_expect(f.report.connections == 1 && f.report.abandoned == 0, "%s: %d connections, %d not closed; %s", name, f.report.connections, f.report.abandoned, f.timing().c_str());
        cr_expect(f.memoryGrowth <= maxMemoryGrowth(maxEventBytes), "%s: memory grew by %lu bytes", name, static_cast<unsigned long>(f.memoryGrowth));
        cr_expect(f.usage.totals().empty(), "%s: the request was charged", name);
    }
}

/// Guards against a conviction of the request: the engine sends, so the request has not crashed it.
Test(StreamRelay, answerWithoutEnd_isNoPossibleCrash)
{
    for (const auto& answer : malformedAnswers()) {
        EndlessEnginesFixture f(answer);
        f.ask("/stream");
        auto name = answer.name.c_str();
        cr_expect(f.interruptedAnswers() == 0, "%s: %lu possible crashes; %s", name, static_cast<unsigned long>(f.interruptedAnswers()), f.timing().c_str());
        cr_expect(f.failureRate() > 0, "%s: the engine was not charged with the failure", name);
    }
}

/// Guards against a conviction of the request: an answer with status 000 was taken for none.
Test(StreamRelay, statusIsNoHttpStatus_isNoPossibleCrash)
{
    for (const char* status : { "000", "600" }) {
        EndlessEnginesFixture f({ .name = status, .start = fmt::format("HTTP/1.1 {} None\r\nSeal: 1\r\nRequest: r1\r\nContent-Length: 4\r\n\r\ndone", status), .repeated = "a" });
        auto received = f.ask("/stream");
        cr_expect(isFailure(received), "%s: the caller received %.40s", status, received.c_str());
        cr_expect(f.interruptedAnswers() == 0, "%s: %lu possible crashes; %s", status, static_cast<unsigned long>(f.interruptedAnswers()), f.timing().c_str());
        cr_expect(f.failureRate() > 0, "%s: the engine was not charged with the failure", status);
    }
}

/// Guards against comments or events without end that look like a complete answer, or count as tokens.
Test(StreamRelay, eventsWithoutEnd_answerIsBrokenOffAtDeadline)
{
    for (const EndlessAnswer& answer : std::vector<EndlessAnswer> {
             { .name = "events", .start = sealedHeader + "\r\n", .repeated = "data: a\n\n" },
             { .name = "comments", .start = sealedHeader + "\r\n", .repeated = ": wait\n\n" },
             { .name = "empty lines", .start = sealedHeader + "\r\n", .repeated = "\n" },
             { .name = "comments, one at a time", .start = sealedHeader + "\r\n", .repeated = ": wait\n\n", .pause = Milliseconds(5) } }) {
        EndlessEnginesFixture f(answer);
        auto received = f.ask("/stream");
        auto name = answer.name.c_str();
        cr_expect(!received.ends_with("\r\n0\r\n\r\n"), "%s: the answer looks complete", name);
        cr_expect(f.took <= f.timeLimit + endlessTimeMargin, "%s: %s", name, f.timing().c_str());
        cr_expect(f.report.abandoned == 0, "%s: the connection was not closed", name);
        bool hasData = answer.repeated.starts_with("data");
        auto tokens = f.usage.totals().empty() ? 0 : f.usage.totals().begin()->second.outputTokens;
        cr_expect((tokens > 0) == hasData, "%s: %ld tokens were charged", name, static_cast<long>(tokens));
    }
}

/// Guards against an engine that takes the event loop from the other requests.
Test(StreamRelay, answerWithoutEnd_eventLoopStaysResponsive)
{
    auto answers = endlessAnswers(sealedHeader);
    answers.push_back({ .name = "events", .start = sealedHeader + "\r\n", .repeated = "data: a\n\n" });
    answers.push_back({ .name = "line", .start = sealedHeader + "\r\nid: 1\ndata: ", .repeated = "a" });
    for (const auto& answer : answers) {
        EndlessEnginesFixture f(answer);
        f.ask("/stream");
        cr_expect(f.longestDelay <= maxDelay, "%s: a timer was %.2f s late", answer.name.c_str(), std::chrono::duration<double>(f.longestDelay).count());
    }
}

/// Guards against events that pile up in memory because the caller reads more slowly than the engine sends.
Test(StreamRelay, callerDoesNotRead_engineIsHeldBack)
{
    EndlessEnginesFixture f({ .start = sealedHeader + "\r\n", .repeated = "data: a\n\n" });
    f.callerReads = false;
    f.ask("/stream");
    cr_expect(f.memoryGrowth <= maxMemoryGrowth(maxEventBytes), "memory grew by %lu bytes", static_cast<unsigned long>(f.memoryGrowth));
    cr_expect(f.report.connections == 1 && f.report.abandoned == 0, "the connection was not closed");
}

/// Guards against paces that are never learned, because the relay does not tell them what its streams show.
Test(StreamRelay, eventsAtIntervals_paceOfTheEngineIsLearned)
{
    EndlessEnginesFixture f({ .start = sealedHeader + "\r\n", .repeated = "data: a\n\n", .pause = Milliseconds(20) });
    auto engine = *f.directory.find("writer-0");
    f.directory.onEntryRemoved("writer-1", Clock::now());
    for (int stream = 0; stream < 3; ++stream)
        f.ask("/stream");
    const auto* pace = f.dispatcher.paces().pace(engine);
    cr_assert(pace && pace->sources > 0, "nothing was learned");
    // A machine that is busy makes events late, never early.
    cr_expect(pace->minEventMs > 15, "%g ms per event", pace->minEventMs);
}

/// The measurement that answerWithoutEnd_eventLoopStaysResponsive relies on.
Test(EndlessEnginesFixture, eventLoopIsHeldUp_delayIsMeasured)
{
    auto processorTime = [] {
        timespec time {};
        ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    };
    auto spin = [&] {
        for (auto startedAt = processorTime(); processorTime() - startedAt < 2 * maxDelay;) { }
    };
    auto sleep = [] { std::this_thread::sleep_for(2 * maxDelay); };
    for (const auto& holdUp : std::initializer_list<std::function<void()>> { spin, sleep }) {
        EndlessEnginesFixture f(endlessAnswers(sealedHeader).front());
        asio::co_spawn(f.io, f.measureDelay(), asio::detached);
        asio::post(f.io, holdUp);
        while (f.longestDelay == Clock::duration::zero())
            f.io.run_one();
        cr_expect(f.longestDelay > maxDelay);
    }
}
