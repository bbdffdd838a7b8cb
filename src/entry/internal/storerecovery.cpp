#include "entry/storerecovery.h"

#include "common/log.h"
#include "fleet/storerewrite.h"
#include "net/eventloop.h"

namespace guavaspan {

namespace {

    constexpr int callsToWriteUsageAgain = 1;

}

StoreRecovery::StoreRecovery(StoreRecoveryOptions options)
    : m_options(options)
{
}

void StoreRecovery::onStoreRestored(const StoreRestored& event)
{
    auto now = Clock::now();
    m_options.directory.onStoreRestored(now);
    m_options.fleet.onStoreRestored(now);
    auto position = std::uniform_real_distribution<double>(0, 1)(m_options.random);
    logEvent(LogLevel::Warning, "store_restored", { { "from_era", event.from.era }, { "from_revision", event.from.number }, { "era", event.to.era }, { "revision", event.to.number }, { "age_ms", std::chrono::duration_cast<Milliseconds>(m_options.replica.age(BootClock::now())).count() }, { "rewrite_position", position } });
    asio::co_spawn(m_options.io, writeRecordsAgain(position), reportFailedHandler);
}

/// Registrations come first, as peers divide budgets by them.
Awaitable<> StoreRecovery::writeRecordsAgain(double position)
{
    auto delayFor = [&](int calls) { return std::chrono::duration_cast<Milliseconds>(position * rewriteSpread(m_options.fleet.instanceCount(), calls)); };
    co_await m_options.registration.registerAgain({ .delay = delayFor(callsToRegisterAgain) });
    co_await sleepFor(delayFor(callsToWriteUsageAgain));
    m_options.crashRecordWriter.writeAgain();
    m_options.usageCustodian.checkAgain(Clock::now());
    co_await m_options.usageWriter.writeAgain();
}

}
