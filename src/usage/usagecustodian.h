#pragma once

#include "common/time.h"
#include "keyvalue/ikeyvaluestore.h"
#include "net/nettypes.h"
#include "usage/usageledger.h"

#include <map>
#include <string>
#include <vector>

namespace guavaspan {

std::string encodeUsageRecords(const std::vector<UsageRecord>&);
/// Empty if the bytes are malformed.
std::optional<std::vector<UsageRecord>> decodeUsageRecords(const std::string&);

/// Keeps the last usage records of instances that stop, and writes those that the store lacks.
class UsageCustodian {
public:
    explicit UsageCustodian(IKeyValueStore&);

    void accept(const UsageRecord&, TimePoint now);

    /// Records that the store lacks, or may still lose. Another custodian takes them when this instance stops.
    std::vector<UsageRecord> records() const;

    /// The store may have lost records.
    void checkAgain(TimePoint now);

    Awaitable<> run();

    /// Compares the records that are due with those in the store, and writes what is missing there.
    Awaitable<> checkDueRecords(TimePoint now);

private:
    struct HeldRecord {
        UsageByOrganisation totals;
        TimePoint acceptedAt;
        TimePoint checkAt;
        bool inStore = false;
    };

    Awaitable<bool> write(std::string key, UsageByOrganisation totals);
    void dropOldRecords(TimePoint now);

    IKeyValueStore& m_store;
    std::map<std::string, HeldRecord> m_records;
};

}
