#include "fleet/registration.h"

#include "common/log.h"

#include <fmt/format.h>

namespace guavaspan {

namespace {

    /// Peers drop an instance from the budget's divisor this long after it died.
    constexpr Seconds leaseTime { 10 };
    constexpr auto renewInterval = Milliseconds(3000);
    constexpr auto retryInterval = Milliseconds(700);

}

Registration::Registration(IKeyValueStore& store, std::string keyPrefix, InstanceRecord record, std::int64_t incarnation)
    : m_store(store)
    // A key of its own for each life needs no knowledge of what an earlier life left.
    , m_key(fmt::format("{}{}/{}", keyPrefix, record.name, incarnation))
    , m_record(std::move(record))
{
}

Awaitable<bool> Registration::registerInstance()
{
    auto lease = co_await m_store.grantLease(leaseTime);
    if (!lease) {
        logEvent(LogLevel::Warning, "registration_failed", { { "detail", describe(lease.error()) } });
        co_return false;
    }
    SwapOptions options { .key = m_key, .value = encodeInstanceRecord(m_record), .lease = *lease };
    auto written = co_await m_store.compareAndSwap(options);
    if (written && !written->swapped) {
        // An earlier try took effect and its answer was lost; its lease is not known, so the entry is taken over.
        options.expectedVersion = written->version;
        written = co_await m_store.compareAndSwap(options);
    }
    if (!written || !written->swapped) {
        logEvent(LogLevel::Warning, "registration_failed", { { "detail", written ? std::string("entry changed") : describe(written.error()) } });
        co_return false;
    }
    m_lease = *lease;
    logEvent(LogLevel::Info, "registered", { { "key", m_key }, { "version", written->version } });
    co_return true;
}

Awaitable<> Registration::run()
{
    while (!m_stopped) {
        bool held = m_lease != noLease;
        if (held) {
            auto kept = co_await m_store.keepLeaseAlive(m_lease);
            if (!kept && kept.error().code == ErrorCode::NotFound)
                m_lease = noLease;
            held = m_lease != noLease;
        }
        if (!held)
            held = co_await registerInstance();
        co_await sleepFor(held ? Clock::duration(renewInterval) : Clock::duration(retryInterval));
    }
}

}
