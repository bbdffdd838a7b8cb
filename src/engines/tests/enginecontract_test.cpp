#include "engines/httpengine.h"
#include "net/tests/runcoroutine.h"
#include "standins/engineserver.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

struct EngineFixture {
    asio::io_context context;
    standins::EngineServer server { context, { .profile = { .stepBaseSeconds = 0.001 }, .loadReportDelay = Milliseconds(0) } };
    Endpoint endpoint = *server.listen({ .address = "127.0.0.1" });
    HttpEngine engine { "engine-1", endpoint };
};

GenerationRequest makeRequest(int tokens, bool chat = false)
{
    auto prompt = "[[tokens=" + std::to_string(tokens) + "]] " + std::string(300, 'x');
    auto body = chat ? R"({"messages":[{"role":"user","content":")" + prompt + R"("}]})" : R"({"prompt":")" + prompt + R"("})";
    return { .body = body, .chat = chat };
}

/// Reads all events from an offset and checks that no token is missing or repeated.
Awaitable<> readToEnd(IEngineStream& stream, int offset, int expectedTokens)
{
    while (true) {
        auto event = co_await stream.next(Seconds(5));
        cr_assert(event.has_value());
        if (const auto* end = std::get_if<GenerationEnded>(&*event)) {
            cr_expect(end->total == expectedTokens);
            cr_expect(offset == expectedTokens);
            co_return;
        }
        const auto& token = std::get<TokenReceived>(*event);
        cr_expect(token.offset == offset++);
        cr_expect(token.identity == stream.identity());
        cr_expect(!token.text.empty());
    }
}

/// Checks the behaviour that every implementation of IEngine must have.
Awaitable<> checkEngineContract(IEngine& engine)
{
    for (bool chat : { false, true }) {
        auto stream = co_await engine.start(makeRequest(12, chat));
        cr_assert(stream.has_value());
        co_await readToEnd(**stream, 0, 12);
        auto identity = (*stream)->identity();
        auto resumed = co_await engine.resume(identity, 5);
        cr_assert(resumed.has_value());
        co_await readToEnd(**resumed, 5, 12);
        auto formerIncarnation = identity;
        formerIncarnation.incarnation = "former";
        auto staleResume = co_await engine.resume(formerIncarnation, 0);
        cr_assert(!staleResume.has_value());
        cr_expect(staleResume.error().code == ErrorCode::NotFound);
        cr_expect(staleResume.error().peer == "engine-1");
    }
    auto running = co_await engine.start(makeRequest(100000));
    cr_assert(running.has_value());
    auto identity = (*running)->identity();
    auto prioritySet = co_await engine.setPriority(identity, 9);
    cr_expect(prioritySet.has_value());
    auto cancelled = co_await engine.cancel(identity);
    cr_expect(cancelled.has_value());
    auto resumedAfterCancel = co_await engine.resume(identity, 0);
    cr_expect(!resumedAfterCancel.has_value());
    // Cache events of the cancelled generation's last step are published when that step ends, before any later token.
    auto next = co_await engine.start(makeRequest(12));
    cr_assert(next.has_value());
    co_await readToEnd(**next, 0, 12);

    auto load = co_await engine.fetchLoad();
    cr_assert(load.has_value());
    cr_expect(load->tokensCapacity > 0);
    auto cacheEvents = co_await engine.fetchCacheEvents(0);
    cr_assert(cacheEvents.has_value());
    cr_expect(!cacheEvents->stored.empty() && !cacheEvents->gap);
    auto laterEvents = co_await engine.fetchCacheEvents(cacheEvents->lastSequence);
    cr_expect(laterEvents && laterEvents->stored.empty() && laterEvents->lastSequence == cacheEvents->lastSequence);
}

Awaitable<> expectRefusedNotRun(IEngine& engine)
{
    GenerationRequest malformed { .body = "nonsense" };
    auto stream = co_await engine.start(malformed);
    cr_assert(!stream.has_value());
    cr_expect(stream.error().outcome == Outcome::NotRun);
}

}

Test(EngineContract, httpEngine_meetsContractWithStandIn)
{
    EngineFixture f;
    runThenStop(f.context, checkEngineContract(f.engine));
}

Test(HttpEngine, refusedRequest_outcomeNotRun)
{
    EngineFixture f;
    runThenStop(f.context, expectRefusedNotRun(f.engine));
}
