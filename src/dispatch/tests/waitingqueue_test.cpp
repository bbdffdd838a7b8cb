#include "dispatch/waitingqueue.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

struct QueueFixture {
    WaitingQueue queue;
    TimePoint now { Seconds(50) };
    WorkId lastId = 0;

    WorkId push(const std::string& organisation, int priority = 1, int promptTokens = 1000, Milliseconds maxWait = Milliseconds(1000), bool late = false, int outputTokens = 500)
    {
        queue.enqueue({ .id = ++lastId, .service = "writer", .organisation = organisation, .rank = { .priority = priority, .late = late }, .estimate = { .promptTokens = promptTokens, .outputTokens = outputTokens }, .arrivedAt = now, .latestStart = now + maxWait }, now);
        now += Milliseconds(1);
        return lastId;
    }

    WorkId take()
    {
        auto next = queue.takeNext([](const WaitingRequest&) { return true; });
        return next ? next->id : 0;
    }
};

}

Test(WaitingQueue, laterUrgentRequest_isTakenFirst)
{
    QueueFixture f;
    auto normal = f.push("a", 1);
    auto urgent = f.push("a", 0);
    cr_expect(f.take() == urgent);
    cr_expect(f.take() == normal);
}

Test(WaitingQueue, lateRequest_isTakenAfterOnTimeRequestsOfItsPriority)
{
    QueueFixture f;
    auto late = f.push("a", 1, 1000, Milliseconds(1000), true);
    auto onTime = f.push("a", 1);
    auto lateUrgent = f.push("a", 0, 1000, Milliseconds(1000), true);
    cr_expect(f.take() == lateUrgent, "priority precedes lateness");
    cr_expect(f.take() == onTime);
    cr_expect(f.take() == late);
}

Test(WaitingQueue, urgentStarts_doNotShortenExpectedWaitOfLowerPriority)
{
    QueueFixture f;
    for (int i = 0; i < 30; ++i)
        f.queue.onStarted("writer", "a", { .priority = 0 }, { .promptTokens = 1000, .outputTokens = 500 }, f.now);
    f.queue.onStarted("writer", "a", { .priority = 1 }, { .promptTokens = 1000, .outputTokens = 500 }, f.now);
    f.push("b", 1, 1000, Seconds(10));
    cr_expect(f.queue.expectedWait({ .service = "writer", .organisation = "b", .rank = { .priority = 1 }, .estimate = { .outputTokens = 500 }, .arrivedAt = f.now }, f.now) > Seconds(3), "one request of this priority started in the window");
    cr_expect(f.queue.expectedWait({ .service = "writer", .organisation = "b", .rank = { .priority = 0 }, .arrivedAt = f.now }, f.now) == Clock::duration {}, "no urgent request waits");
}

Test(WaitingQueue, organisationAboveItsShare_isTakenAfterOthers)
{
    QueueFixture f;
    for (int i = 0; i < 20; ++i)
        f.queue.onStarted("writer", "flood", { .priority = 1 }, { .promptTokens = 1000, .outputTokens = 500 }, f.now);
    for (int i = 0; i < 20; ++i)
        f.push("flood");
    auto modest = f.push("modest");
    cr_expect(f.take() == modest);
}

Test(WaitingQueue, largeRequestThatCannotStart_blocksSmallerOnesBehindIt)
{
    QueueFixture f;
    f.push("a", 1, 9000);
    f.push("a", 1, 10);
    auto next = f.queue.takeNext([](const WaitingRequest& request) { return request.estimate.promptTokens < 100; });
    cr_expect(!next.has_value());
}

Test(WaitingQueue, shortRequest_isNotBlockedByLongRequest)
{
    QueueFixture f;
    f.push("a", 1, 9000);
    auto shortRequest = f.push("a", 1, 2000, Milliseconds(1000), false, 12);
    auto next = f.queue.takeNext([](const WaitingRequest& request) { return request.estimate.promptTokens < 3000; });
    cr_assert(next.has_value());
    cr_expect(next->id == shortRequest);
}

Test(WaitingQueue, blockedService_doesNotBlockOtherServices)
{
    QueueFixture f;
    f.push("a", 1, 9000);
    f.queue.enqueue({ .id = 77, .service = "other", .rank = { .priority = 5 }, .arrivedAt = f.now, .latestStart = f.now + Seconds(1) }, f.now);
    auto next = f.queue.takeNext([](const WaitingRequest& request) { return request.service == "other"; });
    cr_expect(next && next->id == 77);
}

Test(WaitingQueue, expectedWaitBeyondLatestStart_isRefusedAtOnce)
{
    QueueFixture f;
    for (int i = 0; i < 4; ++i)
        f.queue.onStarted("writer", "a", { .priority = 1 }, { .promptTokens = 1000, .outputTokens = 500 }, f.now);
    for (int i = 0; i < 3; ++i)
        f.push("a", 1, 1000, Seconds(10));
    // 1,000 prompt tokens start per second, and 3,000 are ahead in the queue.
    auto result = f.queue.enqueue({ .id = 50, .service = "writer", .organisation = "a", .rank = { .priority = 1 }, .estimate = { .promptTokens = 10, .outputTokens = 500 }, .arrivedAt = f.now, .latestStart = f.now + Seconds(1) }, f.now);
    cr_expect(!result.accepted);
    cr_expect(result.expectedWait > Seconds(2));
}

Test(WaitingQueue, latestStartPassed_requestIsRemovedAsExpired)
{
    QueueFixture f;
    f.push("a", 1, 10, Milliseconds(50));
    f.push("a", 1, 10, Milliseconds(500));
    auto expired = f.queue.takeExpired(f.now + Milliseconds(100));
    cr_expect(expired.size() == 1);
    cr_expect(f.queue.size() == 1);
}

/// When the engines cannot hold all requests, starting generations with a short expected output first lets more
/// of them complete.
Test(WaitingQueue, mixedLengths_shortGenerationsStartFirstAndLongOnesAreNotStarved)
{
    QueueFixture f;
    auto longRequest = f.push("a", 1, 3000, Seconds(5), false, 1700);
    auto shortRequest = f.push("a", 1, 3000, Seconds(5), false, 200);
    auto mediumRequest = f.push("a", 1, 3000, Seconds(5), false, 600);
    cr_expect(f.take() == shortRequest);
    cr_expect(f.take() == mediumRequest);
    f.now += Milliseconds(1600);
    f.push("a", 1, 3000, Seconds(5), false, 200);
    cr_expect(f.take() == longRequest, "a long request that has waited is not overtaken any more");
}

Test(WaitingQueue, organisationAboveItsShare_isTakenAfterLongRequestsOfOthers)
{
    QueueFixture f;
    for (int i = 0; i < 10; ++i)
        f.queue.onStarted("writer", "flood", { .priority = 1 }, { .promptTokens = 3000, .outputTokens = 500 }, f.now);
    f.queue.onStarted("writer", "modest", { .priority = 1 }, { .promptTokens = 3000, .outputTokens = 500 }, f.now);
    f.push("flood", 1, 3000, Seconds(5), false, 100);
    auto modest = f.push("modest", 1, 3000, Seconds(5), false, 1700);
    cr_expect(f.take() == modest);
}
