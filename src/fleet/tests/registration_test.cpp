#include "fleet/registration.h"
#include "keyvalue/tests/fakekeyvaluestore.h"
#include "net/tests/runcoroutine.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

Awaitable<bool> completed(Awaitable<> coroutine)
{
    co_await std::move(coroutine);
    co_return true;
}

struct RegistrationFixture {
    asio::io_context context;
    FakeKeyValueStore store;
    Registration registration { store, "instances/", { .name = "entry-1" }, 1 };

    void registerAgain(RegisterAgainOptions options = {}) { runCoroutine(context, completed(registration.registerAgain(options))); }

    std::size_t registeredInstances() { return runCoroutine(context, store.list("instances/"))->size(); }
};

}

/// Guards against lost registrations: after a restore the entry or its lease is gone, or the lease's number is another's.
Test(Registration, storeRestoredFromEarlierCopy_isRegisteredAgain)
{
    RegistrationFixture f;
    auto copy = f.store.model;
    f.registerAgain();
    cr_expect_eq(f.registeredInstances(), 1);
    f.store.model = copy;
    f.store.model.grantLease(Seconds(60), Clock::now());
    f.registerAgain();
    cr_expect_eq(f.registeredInstances(), 1);
}

Test(Registration, storeRestoredWithTheEntry_isKeptWithANewLease)
{
    RegistrationFixture f;
    f.registerAgain();
    f.registerAgain();
    cr_expect_eq(f.registeredInstances(), 1);
}

Test(Registration, registeredBeforeTheOldestCopy_leaseIsOnlyRenewed)
{
    RegistrationFixture f;
    f.registerAgain();
    auto writes = f.store.writes;
    f.registerAgain({ .oldestCopy = Seconds(0) });
    cr_expect_eq(f.store.writes, writes);
    cr_expect_eq(f.registeredInstances(), 1);
}

/// Guards against lost registrations: the lease may have expired while the store was away.
Test(Registration, leaseOfEarlierRegistrationHasExpired_isRegisteredAgain)
{
    RegistrationFixture f;
    f.registerAgain();
    f.store.model = {};
    f.registerAgain({ .oldestCopy = Seconds(0) });
    cr_expect_eq(f.registeredInstances(), 1);
}
