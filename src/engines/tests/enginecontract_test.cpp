#include "engines/httpengine.h"
#include "net/tests/runcoroutine.h"
#include "standins/engineserver.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

struct EngineFixture {
    asio::io_context context;
    standins::EngineServer server { context, { .profile = { .stepBaseSeconds = 0.001 }, .loadLag = Milliseconds(0) } };
    Endpoint endpoint = *server.listen({ .address = "127.0.0.1" });
    HttpEngine engine { "engine-1", endpoint };
};

GenerationOrder order(int tokens, bool chat = false)
{
    auto prompt = "[[tokens=" + std::to_string(tokens) + "]] " + std::string(300, 'x');
    auto body = chat ? R"({"messages":[{"role":"user","content":")" + prompt + R"("}]})" : R"({"prompt":")" + prompt + R"("})";
    return { .body = body, .chat = chat };
}

/// Reads to the end from an offset and checks that nothing is missing or repeated.
Awaitable<> readToEnd(IEngineStream& stream, int offset, int total)
{
    while (true) {
        auto event = co_await stream.next(Seconds(5));
        cr_assert(event.has_value());
        if (const auto* end = std::get_if<GenerationEnded>(&*event)) {
            cr_expect(end->total == total);
            cr_expect(offset == total);
            co_return;
        }
        const auto& token = std::get<TokenReceived>(*event);
        cr_expect(token.offset == offset++);
        cr_expect(token.identity == stream.identity());
        cr_expect(!token.text.empty());
    }
}

/// What every implementation of IEngine has to do.
Awaitable<> contract(IEngine& engine)
{
    for (bool chat : { false, true }) {
        auto stream = co_await engine.start(order(12, chat));
        cr_assert(stream.has_value());
        co_await readToEnd(**stream, 0, 12);
        auto identity = (*stream)->identity();
        auto resumed = co_await engine.resume(identity, 5);
        cr_assert(resumed.has_value());
        co_await readToEnd(**resumed, 5, 12);
        auto formerLife = identity;
        formerLife.incarnation = "former";
        auto stale = co_await engine.resume(formerLife, 0);
        cr_assert(!stale.has_value());
        cr_expect(stale.error().code == ErrorCode::NotFound);
        cr_expect(stale.error().peer == "engine-1");
    }
    auto running = co_await engine.start(order(100000));
    cr_assert(running.has_value());
    auto identity = (*running)->identity();
    auto raised = co_await engine.setPriority(identity, 9);
    cr_expect(raised.has_value());
    auto cancelled = co_await engine.cancel(identity);
    cr_expect(cancelled.has_value());
    auto gone = co_await engine.resume(identity, 0);
    cr_expect(!gone.has_value());

    auto load = co_await engine.load();
    cr_assert(load.has_value());
    cr_expect(load->tokensCapacity > 0);
    auto news = co_await engine.cacheNews(0);
    cr_assert(news.has_value());
    cr_expect(!news->stored.empty() && !news->gap);
    auto later = co_await engine.cacheNews(news->lastSequence);
    cr_expect(later && later->stored.empty() && later->lastSequence == news->lastSequence);
}

Awaitable<> refusedBody(IEngine& engine)
{
    GenerationOrder bad { .body = "nonsense" };
    auto stream = co_await engine.start(bad);
    cr_assert(!stream.has_value());
    cr_expect(stream.error().outcome == Outcome::NotRun);
}

}

Test(EngineContract, httpAdapter_meetsItAgainstTheStandIn)
{
    EngineFixture f;
    runThenStop(f.context, contract(f.engine));
}

Test(HttpEngine, refusedRequest_isNotRun)
{
    EngineFixture f;
    runThenStop(f.context, refusedBody(f.engine));
}
