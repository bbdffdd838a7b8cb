#pragma once

#include "common/time.h"
#include "keyvalue/ikeyvaluestore.h"
#include "net/nettypes.h"
#include "usage/usageledger.h"

#include <memory>

namespace guavaspan {

/// Puts the ledger's totals on record in the key-value service.
class UsageWriter {
public:
    UsageWriter(std::shared_ptr<IKeyValueStore>, UsageLedger&, const std::string& instance, const std::string& incarnation);

    Awaitable<> run(Clock::duration interval);

    /// Writes now; false if the record could not be confirmed.
    Awaitable<bool> flush();

private:
    std::shared_ptr<IKeyValueStore> m_keyValue;
    UsageLedger& m_ledger;
    std::string m_key;
    std::int64_t m_version = absentVersion;
    bool m_versionKnown = true;
};

/// Sum over all records in the service.
Awaitable<Result<UsageByOrganisation>> readUsage(std::shared_ptr<IKeyValueStore>);

}
