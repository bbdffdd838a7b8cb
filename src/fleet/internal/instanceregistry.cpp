#include "fleet/instanceregistry.h"

namespace guavaspan {

void InstanceRegistry::onRegistered(const std::string& key, InstanceRecord record, TimePoint now)
{
    removeKey(key);
    auto name = record.name;
    m_namesByKey.emplace(key, name);
    if (!record.readsSummaries)
        m_keysOfOlderVersions.insert(key);
    auto& instance = m_instances[name];
    instance.records.insert_or_assign(key, std::move(record));
    instance.registeredAt = now;
    m_lostKeys.erase(key);
    ++m_version;
}

void InstanceRegistry::onUnregistered(const std::string& key, TimePoint now)
{
    if (now < m_lostKeysKeptUntil)
        m_lostKeys.insert(key);
    else
        removeKey(key);
}

void InstanceRegistry::removeKey(const std::string& key)
{
    auto registered = m_namesByKey.find(key);
    if (registered == m_namesByKey.end())
        return;
    auto instance = m_instances.find(registered->second);
    instance->second.records.erase(key);
    if (instance->second.records.empty())
        m_instances.erase(instance);
    m_namesByKey.erase(registered);
    m_keysOfOlderVersions.erase(key);
    ++m_version;
}

void InstanceRegistry::onStoreRestored(Clock::duration timeToRegister, TimePoint now)
{
    m_lostKeysKeptUntil = now + timeToRegister;
}

void InstanceRegistry::onTick(TimePoint now)
{
    if (m_lostKeys.empty() || now < m_lostKeysKeptUntil)
        return;
    for (const auto& key : m_lostKeys)
        removeKey(key);
    m_lostKeys.clear();
}

const InstanceRecord* InstanceRegistry::find(const std::string& name) const
{
    auto instance = m_instances.find(name);
    return instance == m_instances.end() ? nullptr : &instance->second.records.rbegin()->second;
}

std::optional<TimePoint> InstanceRegistry::registeredAt(const std::string& name) const
{
    auto instance = m_instances.find(name);
    return instance == m_instances.end() ? std::nullopt : std::optional(instance->second.registeredAt);
}

}
