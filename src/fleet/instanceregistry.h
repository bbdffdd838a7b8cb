#pragma once

#include "fleet/fleettypes.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace guavaspan {

/// Instances that are registered in the shared store. Each process of an instance has an entry of its own there.
class InstanceRegistry {
public:
    void onRegistered(const std::string& key, InstanceRecord, TimePoint now);
    void onUnregistered(const std::string& key, TimePoint now);

    /// The store came back from a copy. Instances that the copy lacks stay registered for this time, in which they register again.
    void onStoreRestored(Clock::duration timeToRegister, TimePoint now);

    /// Removes instances that did not register again in time.
    void onTick(TimePoint now);

    bool hasKey(const std::string& key) const { return m_namesByKey.contains(key); }
    bool contains(const std::string& name) const { return m_instances.contains(name); }
    const InstanceRecord* find(const std::string& name) const;

    /// When the latest entry of an instance was read.
    std::optional<TimePoint> registeredAt(const std::string& name) const;

    std::size_t size() const { return m_instances.size(); }

    /// Calls the visitor with the name of each instance.
    template <typename Visitor>
    void forEachName(Visitor visitor) const
    {
        for (const auto& [name, instance] : m_instances)
            visitor(name);
    }

    /// False if an instance of an older version is registered, which expects the reports of all others.
    bool allReadSummaries() const { return m_keysOfOlderVersions.empty(); }

    /// Increases with each change.
    std::int64_t version() const { return m_version; }

private:
    struct Instance {
        /// By key; that of an earlier process lasts until its lease expires.
        std::map<std::string, InstanceRecord> records;
        TimePoint registeredAt;
    };

    void removeKey(const std::string& key);

    std::map<std::string, Instance> m_instances;
    std::map<std::string, std::string> m_namesByKey;
    std::set<std::string> m_keysOfOlderVersions;
    /// Keys that a restored store lacks.
    std::set<std::string> m_lostKeys;
    /// Until when instances may register again.
    TimePoint m_lostKeysKeptUntil;
    std::int64_t m_version = 0;
};

}
