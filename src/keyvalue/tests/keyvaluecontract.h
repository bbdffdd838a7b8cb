#pragma once

#include "keyvalue/ikeyvaluestore.h"
#include "net/nettypes.h"

#include <criterion/criterion.h>

namespace guavaspan {

/// Checks the behaviour that every implementation of IKeyValueStore must have.
inline Awaitable<> checkKeyValueContract(IKeyValueStore& store)
{
    auto missing = co_await store.get("a/1");
    cr_expect(missing && !*missing);

    SwapOptions create { .key = "a/1", .value = std::string("one\0two", 7) };
    auto created = co_await store.compareAndSwap(create);
    cr_assert(created && created->swapped);
    auto createdAgain = co_await store.compareAndSwap(create);
    cr_expect(createdAgain && !createdAgain->swapped);

    auto entry = co_await store.get("a/1");
    cr_assert(entry && *entry);
    cr_expect((*entry)->value == std::string("one\0two", 7));
    cr_expect((*entry)->version == created->version);

    SwapOptions update { .key = "a/1", .expectedVersion = created->version, .value = "new" };
    auto updated = co_await store.compareAndSwap(update);
    cr_assert(updated && updated->swapped);
    cr_expect(updated->version > created->version);
    auto staleUpdate = co_await store.compareAndSwap(update);
    cr_expect(staleUpdate && !staleUpdate->swapped);

    SwapOptions samePrefix { .key = "a/2", .value = "x" };
    co_await store.compareAndSwap(samePrefix);
    SwapOptions otherPrefix { .key = "b/1", .value = "y" };
    co_await store.compareAndSwap(otherPrefix);
    auto listed = co_await store.list("a/");
    cr_expect(listed && listed->size() == 2);

    auto lease = co_await store.grantLease(Seconds(60));
    cr_assert(lease.has_value());
    SwapOptions createLeased { .key = "leased", .value = "z", .lease = *lease };
    auto createdLeased = co_await store.compareAndSwap(createLeased);
    cr_expect(createdLeased && createdLeased->swapped);
    auto renewed = co_await store.keepLeaseAlive(*lease);
    cr_expect(renewed.has_value());
    auto unknownLease = co_await store.keepLeaseAlive(*lease + 1000);
    cr_expect(!unknownLease.has_value());
}

}
