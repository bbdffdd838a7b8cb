#include "fleet/peerfeed.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/tests/runcoroutine.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace guavaspan;

namespace {

using nlohmann::json;

const std::string emptyPrefix;

std::string toBytes(const json& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

/// A peer that serves its copy, and one of an older version whose answers state no era.
struct PeerFeedFixture {
    PeerFeedFixture()
    {
        replica.applyListing({ .entries = { { .key = "a", .value = "1", .version = 5 } }, .revision = { .era = 2, .number = 6 } }, BootClock::now());
    }

    Awaitable<> serveOlderVersion(HttpExchange& exchange)
    {
        auto binary = json::binary({ '1' });
        Reply reply { .contentType = "application/cbor" };
        reply.body = exchange.path() == "/fleet/entries" ? toBytes(json::array({ 6, 0, json::array({ json::array({ "a", 5, binary }) }) })) : toBytes(json::array({ 6, 0, false, json::array() }));
        co_await exchange.send(std::move(reply));
    }

    asio::io_context context;
    StoreReplica replica;
    PeerFeedServer feed { replica };
    HttpServer server { context, {}, [this](HttpExchange& exchange) { return feed.handle(exchange); } };
    HttpServer olderServer { context, {}, [this](HttpExchange& exchange) { return serveOlderVersion(exchange); } };
    Endpoint endpoint = *server.listen({ .address = "127.0.0.1" });
    Endpoint olderEndpoint = *olderServer.listen({ .address = "127.0.0.1" });
};

Awaitable<> expectErasArePassedOn(PeerFeedFixture& f)
{
    PeerFeedClient client(f.endpoint);
    auto listing = co_await client.listAll(emptyPrefix);
    cr_assert(listing.has_value());
    cr_expect(listing->revision == StoreRevision({ .era = 2, .number = 6 }));
    auto changes = co_await client.watch(emptyPrefix, { .era = 2, .number = 6 }, Milliseconds(0));
    cr_expect(changes && !changes->historyLost && changes->revision.era == 2);
    auto ofEarlierEra = co_await client.watch(emptyPrefix, { .era = 1, .number = 6 }, Milliseconds(0));
    cr_expect(ofEarlierEra && ofEarlierEra->historyLost);
}

/// The replica's values have an order, and an entry is removed.
Awaitable<> expectRemovalCarriesLastValue(PeerFeedFixture& f)
{
    f.replica.setEntryOrder([](const std::string&, const std::string& left, const std::string& right) -> std::optional<std::strong_ordering> { return left <=> right; });
    f.replica.applyChanges({ .changes = { { .key = "a", .revision = 7 } }, .revision = { .era = 2, .number = 7 } }, BootClock::now());
    PeerFeedClient client(f.endpoint);
    auto changes = co_await client.watch(emptyPrefix, { .era = 2, .number = 6 }, Milliseconds(0));
    cr_assert(changes && changes->changes.size() == 1);
    cr_expect(changes->changes.front() == StoreChange({ .key = "a", .revision = 7, .lastValue = "1" }));
}

Awaitable<> expectOlderClientIsServed(PeerFeedFixture& f)
{
    HttpCall call { .endpoint = f.endpoint, .target = "/fleet/changes?after=6&wait_ms=0" };
    auto response = co_await callHttp(std::move(call));
    cr_assert(response.has_value());
    auto fields = json::from_cbor(response->body());
    cr_expect(fields.at(0) == 6 && fields.at(2) == false && fields.at(3).empty(), "the fields that older versions read are unchanged");
}

Awaitable<> expectOlderServerIsOfNoEra(PeerFeedFixture& f)
{
    PeerFeedClient client(f.olderEndpoint);
    auto listing = co_await client.listAll(emptyPrefix);
    cr_assert(listing.has_value());
    cr_expect(listing->revision == StoreRevision({ .number = 6 }));
    cr_expect(listing->entries.size() == 1);
    auto changes = co_await client.watch(emptyPrefix, { .era = 1, .number = 6 }, Milliseconds(0));
    cr_expect(changes && changes->revision == StoreRevision({ .number = 6 }));
}

}

Test(PeerFeed, followerOfSameOrEarlierEra_getsChangesOrHasToListAgain)
{
    PeerFeedFixture f;
    runThenStop(f.context, expectErasArePassedOn(f));
}

/// Without the last value, a follower cannot recognise a heartbeat that the store executes late.
Test(PeerFeed, removalOfAnEntryWithAnOrder_carriesItsLastValue)
{
    PeerFeedFixture f;
    runThenStop(f.context, expectRemovalCarriesLastValue(f));
}

/// Guards against CONFIG during an upgrade: instances of older versions follow newer ones.
Test(PeerFeed, followerOfOlderVersion_isServed)
{
    PeerFeedFixture f;
    runThenStop(f.context, expectOlderClientIsServed(f));
}

/// Guards against CONFIG during an upgrade: a peer of an older version may miss that the store was restored.
Test(PeerFeed, peerOfOlderVersion_isOfNoEra)
{
    PeerFeedFixture f;
    runThenStop(f.context, expectOlderServerIsOfNoEra(f));
}
