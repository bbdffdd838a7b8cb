#pragma once

#include "keyvalue/ikeyvaluestore.h"
#include "net/nettypes.h"
#include "quarantine/crashguardmessages.h"

#include <deque>
#include <set>

namespace guavaspan {

std::string encodeCrashRecord(const CrashRecord&);
std::optional<CrashRecord> decodeCrashRecord(const std::string&);

/// Writes crash records to the shared store, where instances that start later find them.
class CrashRecordWriter {
public:
    CrashRecordWriter(IKeyValueStore&, std::string keyPrefix);

    /// Queues a record unless it was queued before.
    void add(const CrashRecord&);

    Awaitable<> run();

    /// Writes all queued records; false if one could not be written.
    Awaitable<bool> writeQueued();

private:
    std::string keyOf(const CrashRecord&) const;

    IKeyValueStore& m_store;
    std::string m_keyPrefix;
    std::deque<CrashRecord> m_queue;
    std::set<std::string> m_knownKeys;
};

}
