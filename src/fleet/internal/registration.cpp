#include "fleet/registration.h"

#include "common/log.h"

#include <fmt/format.h>

namespace guavaspan {

namespace {

    /// Peers divide shared budgets by the number of registered instances, and an instance that died is counted
    /// until its lease expires.
    constexpr Seconds leaseTtl { 10 };
    constexpr auto renewInterval = Milliseconds(3000);
    constexpr auto retryInterval = Milliseconds(700);

}

Registration::Registration(IKeyValueStore& store, std::string keyPrefix, InstanceRecord record, std::int64_t incarnation)
    : m_store(store)
    // Each incarnation has its own key, so entries left by an earlier one need no handling.
    , m_key(fmt::format("{}{}/{}", keyPrefix, record.name, incarnation))
    , m_record(std::move(record))
{
}

Awaitable<bool> Registration::registerInstance()
{
    if (m_registering)
        co_return false;
    m_registering = true;
    auto renewals = m_renewals;
    auto lease = co_await writeEntry();
    m_registering = false;
    // The lease may be of the store's earlier era, in which case its number may belong to another one by now.
    if (!lease || m_renewals != renewals)
        co_return false;
    m_lease = *lease;
    m_registeredAt = Clock::now();
    co_return true;
}

Awaitable<std::optional<LeaseId>> Registration::writeEntry()
{
    auto lease = co_await m_store.grantLease(leaseTtl);
    if (!lease) {
        logEvent(LogLevel::Warning, "registration_failed", { { "detail", describe(lease.error()) } });
        co_return std::nullopt;
    }
    SwapOptions options { .key = m_key, .value = encodeInstanceRecord(m_record), .lease = *lease };
    auto written = co_await m_store.compareAndSwap(options);
    if (written && !written->swapped) {
        // An earlier attempt was applied but its response was lost. Its lease id is unknown, so the entry
        // is overwritten with the new lease.
        options.expectedVersion = written->version;
        written = co_await m_store.compareAndSwap(options);
    }
    if (!written || !written->swapped) {
        logEvent(LogLevel::Warning, "registration_failed", { { "detail", written ? std::string("another writer changed the entry") : describe(written.error()) } });
        co_return std::nullopt;
    }
    logEvent(LogLevel::Info, "registered", { { "key", m_key }, { "version", written->version } });
    co_return *lease;
}

/// The lease of an earlier registration is in the copy, but may be about to expire there, or have expired.
Awaitable<> Registration::registerAgain(RegisterAgainOptions options)
{
    if (m_lease != noLease && m_registeredAt + options.oldestCopy < Clock::now()) {
        co_await renewLease();
        if (m_lease != noLease)
            co_return;
    }
    // Until then the lease held keeps run() from registering before the delay has passed.
    co_await sleepFor(options.delay);
    ++m_renewals;
    m_lease = noLease;
    while (!m_stopped && m_lease == noLease) {
        bool registered = co_await registerInstance();
        if (!registered)
            co_await sleepFor(retryInterval);
    }
}

Awaitable<> Registration::renewLease()
{
    auto lease = m_lease;
    auto renewed = co_await m_store.keepLeaseAlive(lease);
    if (!renewed && renewed.error().code == ErrorCode::NotFound && m_lease == lease)
        m_lease = noLease;
}

Awaitable<> Registration::run()
{
    while (!m_stopped) {
        bool leaseHeld = m_lease != noLease;
        if (leaseHeld) {
            co_await renewLease();
            leaseHeld = m_lease != noLease;
        }
        if (!leaseHeld)
            leaseHeld = co_await registerInstance();
        co_await sleepFor(leaseHeld ? Clock::duration(renewInterval) : Clock::duration(retryInterval));
    }
}

}
