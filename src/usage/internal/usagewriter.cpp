#include "usage/usagewriter.h"

#include "common/log.h"

#include <algorithm>

namespace guavaspan {

UsageWriter::UsageWriter(IKeyValueStore& keyValue, UsageLedger& ledger, std::string key)
    : m_keyValue(keyValue)
    , m_ledger(ledger)
    , m_key(std::move(key))
{
}

std::string usageKey(const std::string& prefix, const std::string& instance, const std::string& incarnation)
{
    return prefix + instance + "/" + incarnation;
}

Awaitable<> UsageWriter::run(Clock::duration interval)
{
    while (true) {
        co_await sleepFor(interval);
        co_await flushChanges();
    }
}

Awaitable<bool> UsageWriter::flushChanges()
{
    auto charges = m_ledger.charges();
    if (m_writtenCharges < charges)
        co_await flush();
    co_return m_writtenCharges >= charges;
}

Awaitable<> UsageWriter::writeAgain()
{
    constexpr int maxWrites = 10;
    constexpr auto retryInterval = Milliseconds(700);
    if (m_ledger.totals().empty())
        co_return;
    m_writtenCharges = 0;
    m_versionKnown = false;
    for (int write = 0; write < maxWrites; ++write) {
        bool written = co_await flushChanges();
        if (written)
            co_return;
        co_await sleepFor(retryInterval);
    }
}

/// Only this incarnation writes the record, so a version conflict comes from an
/// earlier swap whose answer was lost; the current version is then read back.
Awaitable<bool> UsageWriter::flush()
{
    constexpr int maxAttempts = 3;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        if (!m_versionKnown) {
            auto entry = co_await m_keyValue.get(m_key);
            if (!entry)
                continue;
            m_version = *entry ? (*entry)->version : absentVersion;
            m_versionKnown = true;
        }
        auto charges = m_ledger.charges();
        SwapOptions options { .key = m_key, .expectedVersion = m_version, .value = encodeUsage(m_ledger.totals()) };
        auto result = co_await m_keyValue.compareAndSwap(std::move(options));
        if (result && result->swapped) {
            m_version = result->version;
            m_writtenCharges = std::max(m_writtenCharges, charges);
            co_return true;
        }
        m_versionKnown = false;
    }
    logEvent(LogLevel::Warning, "usage_not_written", { { "key", m_key } });
    co_return false;
}

Awaitable<Result<UsageByOrganisation>> readUsage(IKeyValueStore& keyValue, std::string prefix)
{
    auto entries = co_await keyValue.list(std::move(prefix));
    if (!entries)
        co_return entries.error();
    UsageByOrganisation total;
    for (const auto& entry : *entries)
        total = addRecords(total, decodeUsage(entry.value));
    co_return total;
}

}
