#pragma once

#include "common/time.h"
#include "keyvalue/ikeyvaluestore.h"
#include "net/nettypes.h"
#include "usage/usageledger.h"

#include <string>

namespace guavaspan {

/// Writes the ledger's totals to the key-value service.
class UsageWriter {
public:
    /// The key must be unique to this incarnation of this instance.
    UsageWriter(IKeyValueStore&, UsageLedger&, std::string key);

    Awaitable<> run(Clock::duration interval);

    /// Writes the totals if they changed since the last successful write; false if that failed. Calls may overlap.
    Awaitable<bool> flushChanges();

    /// The totals as they are to be written.
    UsageRecord record() const { return { .key = m_key, .totals = m_ledger.totals() }; }

    /// Writes the totals again, because the store may have lost the last write.
    Awaitable<> writeAgain();

    /// Writes the totals unconditionally; false if the write was not confirmed.
    Awaitable<bool> flush();

private:
    IKeyValueStore& m_keyValue;
    UsageLedger& m_ledger;
    std::string m_key;
    std::int64_t m_version = absentVersion;
    bool m_versionKnown = true;
    /// Charges that are on record.
    std::uint64_t m_writtenCharges = 0;
};

/// Key of the usage record of one incarnation of an instance.
std::string usageKey(const std::string& prefix, const std::string& instance, const std::string& incarnation);

/// Key prefix of the usage records of the native interface.
inline constexpr const char* nativeUsagePrefix = "/guavaspan/usage/";

/// Returns the sum of all records under a prefix.
Awaitable<Result<UsageByOrganisation>> readUsage(IKeyValueStore&, std::string prefix);

}
