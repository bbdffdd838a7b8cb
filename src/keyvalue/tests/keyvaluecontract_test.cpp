#include "keyvalue/etcdkeyvaluestore.h"
#include "keyvalue/tests/fakekeyvaluestore.h"
#include "keyvalue/tests/keyvaluecontract.h"
#include "net/tests/runcoroutine.h"
#include "standins/platformserver.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

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

Test(KeyValueContract, fakeStore_meetsContract)
{
    asio::io_context context;
    FakeKeyValueStore store;
    runThenStop(context, checkKeyValueContract(store));
}

Test(KeyValueContract, etcdStore_meetsContract)
{
    asio::io_context context;
    standins::PlatformServer platform(context);
    auto bound = platform.listen({ .address = "127.0.0.1" });
    cr_assert(bound.has_value());
    EtcdKeyValueStore store(*bound, Seconds(5));
    runThenStop(context, checkKeyValueContract(store));
}

Test(EtcdKeyValueStore, connectionRefused_outcomeNotRun)
{
    asio::io_context context;
    EtcdKeyValueStore store({ .address = "127.0.0.1", .port = 1 }, Seconds(5));
    runThenStop(context, expectNotRun(store));
}

Test(KeyValueModel, expiredLease_removesKeys)
{
    standins::KeyValueModel model;
    TimePoint now = TimePoint {} + Seconds(1);
    auto lease = model.grantLease(Seconds(5), now);
    model.swap({ .key = "k", .value = "v", .lease = lease }, now);
    cr_expect(model.range("k", "", now + Seconds(4)).size() == 1);
    cr_expect(model.range("k", "", now + Seconds(6)).empty());
    cr_expect_not(model.keepAlive(lease, now + Seconds(6)));
}
