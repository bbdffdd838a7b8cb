#include "keyvalue/etcdkeyvaluestore.h"
#include "keyvalue/tests/fakekeyvaluestore.h"
#include "net/tests/runcoroutine.h"
#include "standins/platformserver.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// What every implementation of IKeyValueStore has to do.
Awaitable<> contract(IKeyValueStore& store)
{
    auto missing = co_await store.get("a/1");
    cr_expect(missing && !*missing);

    SwapOptions create { .key = "a/1", .value = std::string("one\0two", 7) };
    auto created = co_await store.compareAndSwap(create);
    cr_assert(created && created->swapped);
    auto again = co_await store.compareAndSwap(create);
    cr_expect(again && !again->swapped);

    auto entry = co_await store.get("a/1");
    cr_assert(entry && *entry);
    cr_expect((*entry)->value == std::string("one\0two", 7));
    cr_expect((*entry)->version == created->version);

    SwapOptions update { .key = "a/1", .expectedVersion = created->version, .value = "new" };
    auto updated = co_await store.compareAndSwap(update);
    cr_assert(updated && updated->swapped);
    cr_expect(updated->version > created->version);
    auto stale = co_await store.compareAndSwap(update);
    cr_expect(stale && !stale->swapped);

    SwapOptions second { .key = "a/2", .value = "x" };
    co_await store.compareAndSwap(second);
    SwapOptions other { .key = "b/1", .value = "y" };
    co_await store.compareAndSwap(other);
    auto listed = co_await store.list("a/");
    cr_expect(listed && listed->size() == 2);

    auto lease = co_await store.grantLease(Seconds(60));
    cr_assert(lease.has_value());
    SwapOptions leased { .key = "leased", .value = "z", .lease = *lease };
    auto held = co_await store.compareAndSwap(leased);
    cr_expect(held && held->swapped);
    auto kept = co_await store.keepLeaseAlive(*lease);
    cr_expect(kept.has_value());
    auto unknown = co_await store.keepLeaseAlive(*lease + 1000);
    cr_expect(!unknown.has_value());
}

Awaitable<> expectNotRun(IKeyValueStore& store)
{
    SwapOptions options { .key = "a", .value = "b" };
    auto answer = co_await store.compareAndSwap(options);
    cr_assert(!answer.has_value());
    cr_expect(answer.error().outcome == Outcome::NotRun);
    cr_expect(answer.error().step == Step::KeyValue);
    cr_expect(!answer.error().peer.empty());
}

}

Test(KeyValueContract, fake_meetsIt)
{
    asio::io_context context;
    FakeKeyValueStore store;
    runThenStop(context, contract(store));
}

Test(KeyValueContract, etcdAdapter_meetsIt)
{
    asio::io_context context;
    standins::PlatformServer platform(context);
    auto bound = platform.listen({ .address = "127.0.0.1" });
    cr_assert(bound.has_value());
    EtcdKeyValueStore store(*bound, Seconds(5));
    runThenStop(context, contract(store));
}

Test(EtcdKeyValueStore, nobodyListening_isNotRun)
{
    asio::io_context context;
    EtcdKeyValueStore store({ .address = "127.0.0.1", .port = 1 }, Seconds(5));
    runThenStop(context, expectNotRun(store));
}

Test(KeyValueModel, lapsedLease_removesItsKeys)
{
    standins::KeyValueModel model;
    TimePoint now = TimePoint {} + Seconds(1);
    auto lease = model.grantLease(Seconds(5), now);
    model.swap({ .key = "k", .value = "v", .lease = lease }, now);
    cr_expect(model.range("k", "", now + Seconds(4)).size() == 1);
    cr_expect(model.range("k", "", now + Seconds(6)).empty());
    cr_expect_not(model.keepAlive(lease, now + Seconds(6)));
}
