#pragma once

#include "keyvalue/ikeyvaluestore.h"
#include "net/nettypes.h"

#include <criterion/criterion.h>

namespace guavaspan {

/// What every implementation of IKeyValueStore has to do.
inline Awaitable<> checkKeyValueContract(IKeyValueStore& store)
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

}
