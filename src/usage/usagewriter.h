#pragma once

#include "common/time.h"
#include "keyvalue/ikeyvaluestore.h"
#include "net/nettypes.h"
#include "usage/usageledger.h"

#include <string>

namespace guavaspan {

/// Puts the ledger's totals on record in the key-value service.
class UsageWriter {
public:
    /// The key belongs to this life of this instance alone.
    UsageWriter(IKeyValueStore&, UsageLedger&, std::string key);

    Awaitable<> run(Clock::duration interval);

    /// Writes what was not written yet, if anything.
    Awaitable<bool> flushChanges();

    /// Writes now; false if the record could not be confirmed.
    Awaitable<bool> flush();

private:
    IKeyValueStore& m_keyValue;
    UsageLedger& m_ledger;
    std::string m_key;
    std::int64_t m_version = absentVersion;
    bool m_versionKnown = true;
    bool m_pending = false;
};

/// Key of the record of one life of an instance.
std::string usageKey(const std::string& prefix, const std::string& instance, const std::string& incarnation);

/// Where the own interface keeps its records.
inline constexpr const char* nativeUsagePrefix = "/guavaspan/usage/";

/// Sum over all records under a prefix.
Awaitable<Result<UsageByOrganisation>> readUsage(IKeyValueStore&, std::string prefix);

}
