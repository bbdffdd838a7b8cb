#pragma once

#include "common/time.h"
#include "keyvalue/ikeyvaluestore.h"
#include "net/nettypes.h"
#include "usage/usageledger.h"

#include <map>
#include <string>
#include <vector>

namespace guavaspan {

/// A usage record on its way to a custodian.
struct HandedUsage {
    UsageRecord record;
    /// Time since the instance that the record is of handed it over.
    Milliseconds age { 0 };
    /// The store had the record; it is kept in case the store comes back from a copy without it.
    bool inStore = false;

    friend bool operator==(const HandedUsage&, const HandedUsage&) = default;
};

std::string encodeHandedUsage(const std::vector<HandedUsage>&);
/// Empty if the bytes are malformed.
std::optional<std::vector<HandedUsage>> decodeHandedUsage(const std::string&);

/// Keeps the last usage records of instances that stop, and writes those that the store lacks.
class UsageCustodian {
public:
    explicit UsageCustodian(IKeyValueStore&);

    void accept(const HandedUsage&, TimePoint now);

    /// Records that the store lacks, or may still lose. Another custodian takes them when this instance stops.
    std::vector<HandedUsage> heldUsage(TimePoint now) const;

    /// The store may have lost records.
    void checkAgain(TimePoint now);

    Awaitable<> run();

    /// Compares the records that are due with those in the store, and writes what is missing there.
    Awaitable<> checkDueRecords(TimePoint now);

private:
    struct HeldRecord {
        UsageByOrganisation totals;
        TimePoint handedOverAt;
        TimePoint checkAt;
        bool inStore = false;
    };

    Awaitable<bool> write(std::string key, UsageByOrganisation totals);
    void dropOldRecords(TimePoint now);
    bool mayBeLost(const HeldRecord&, TimePoint now) const;

    IKeyValueStore& m_store;
    std::map<std::string, HeldRecord> m_records;
};

}
