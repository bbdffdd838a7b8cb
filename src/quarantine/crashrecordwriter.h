#pragma once

#include "keyvalue/ikeyvaluestore.h"
#include "net/nettypes.h"
#include "quarantine/quarantine.h"

#include <deque>
#include <set>

namespace guavaspan {

std::string encodeCrashReport(const CrashReport&);
std::optional<CrashReport> decodeCrashReport(const std::string&);

/// Writes crash reports to the shared store, where instances that start later find them.
class CrashRecordWriter {
public:
    CrashRecordWriter(IKeyValueStore&, std::string keyPrefix);

    /// Queues a report unless it was queued before.
    void add(const CrashReport&);

    Awaitable<> run();

    /// Writes all queued reports; false if one could not be written.
    Awaitable<bool> writeQueued();

private:
    std::string keyOf(const CrashReport&) const;

    IKeyValueStore& m_store;
    std::string m_keyPrefix;
    std::deque<CrashReport> m_queue;
    std::set<std::string> m_knownKeys;
};

}
