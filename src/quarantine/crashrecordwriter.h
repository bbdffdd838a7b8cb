#pragma once

#include "keyvalue/ikeyvaluestore.h"
#include "net/nettypes.h"
#include "quarantine/crashguardmessages.h"
#include "quarantine/promptguardmessages.h"

#include <deque>
#include <set>

namespace guavaspan {

/// What instances keep of crashes in the shared store.
using StoredCrashRecord = std::variant<CrashReport, ConvictionNotice, SuspicionRecord, PromptPartRecord>;

std::string encodeCrashRecord(const StoredCrashRecord&);
std::optional<StoredCrashRecord> decodeCrashRecord(const std::string&);

/// Writes crash records to the shared store, where instances that start later find them.
class CrashRecordWriter {
public:
    CrashRecordWriter(IKeyValueStore&, std::string keyPrefix);

    /// Queues a record unless it was queued before.
    void add(const StoredCrashRecord&);

    /// Queues the latest records again, because the store may have lost them.
    void writeAgain();

    Awaitable<> run();

    /// Writes all queued records; false if one could not be written.
    Awaitable<bool> writeQueued();

private:
    std::string keyOf(const StoredCrashRecord&) const;

    IKeyValueStore& m_store;
    std::string m_keyPrefix;
    struct AddedRecord {
        StoredCrashRecord record;
        TimePoint addedAt;
    };

    std::deque<StoredCrashRecord> m_queue;
    std::deque<AddedRecord> m_latestRecords;
    std::set<std::string> m_knownKeys;
};

}
