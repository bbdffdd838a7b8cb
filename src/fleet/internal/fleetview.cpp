#include "fleet/fleetview.h"

#include "common/hash.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Silence after which an instance's load no longer counts: three lost reports in a row.
    constexpr auto silenceLimit = Milliseconds(1500);
    /// Instances of one failure domain that read the store. Where one fails, its followers turn
    /// to another domain's, or to the store once their copy is stale.
    constexpr int storeReadersPerDomain = 1;

}

void FleetView::onRegistered(const std::string& key, InstanceRecord record)
{
    m_registered.insert_or_assign(key, std::move(record));
}

void FleetView::onUnregistered(const std::string& key)
{
    m_registered.erase(key);
}

bool FleetView::onReport(const InstanceLoads& report, TimePoint now)
{
    if (report.instance == m_self)
        return false;
    auto& heard = m_heard[report.instance];
    if (report.sequence <= heard.sequence)
        return false;
    heard = { .sequence = report.sequence, .at = now };
    return true;
}

std::vector<std::string> FleetView::takeSilent(TimePoint now)
{
    std::vector<std::string> silent;
    for (auto& [name, heard] : m_heard) {
        if (heard.at + silenceLimit < now)
            silent.push_back(name);
    }
    for (const auto& name : silent)
        m_heard.erase(name);
    return silent;
}

std::vector<InstanceRecord> FleetView::peers() const
{
    std::map<std::string, InstanceRecord> byName;
    for (const auto& [key, record] : m_registered) {
        if (record.name != m_self)
            byName.insert_or_assign(record.name, record);
    }
    std::vector<InstanceRecord> records;
    records.reserve(byName.size());
    for (auto& [name, record] : byName)
        records.push_back(std::move(record));
    return records;
}

std::vector<InstanceRecord> FleetView::reachablePeers(TimePoint now) const
{
    auto records = peers();
    std::erase_if(records, [&](const InstanceRecord& record) {
        auto heard = m_heard.find(record.name);
        return heard == m_heard.end() || heard->second.at + silenceLimit < now;
    });
    return records;
}

bool FleetView::readsStore(const std::string& ownDomain, TimePoint now) const
{
    auto key = "store-reader/" + ownDomain;
    auto own = rendezvousWeight(m_self, key);
    auto reachable = reachablePeers(now);
    auto ahead = std::count_if(reachable.begin(), reachable.end(), [&](const InstanceRecord& peer) { return peer.failureDomain == ownDomain && rendezvousWeight(peer.name, key) > own; });
    return ahead < storeReadersPerDomain;
}

std::vector<InstanceRecord> FleetView::storeReaders(const std::string& ownDomain, TimePoint now) const
{
    std::map<std::string, std::vector<InstanceRecord>> byDomain;
    for (auto& peer : reachablePeers(now))
        byDomain[peer.failureDomain].push_back(std::move(peer));
    std::vector<InstanceRecord> own;
    std::vector<InstanceRecord> others;
    for (auto& [domain, members] : byDomain) {
        auto key = "store-reader/" + domain;
        std::sort(members.begin(), members.end(), [&](const InstanceRecord& left, const InstanceRecord& right) { return rendezvousWeight(left.name, key) > rendezvousWeight(right.name, key); });
        members.resize(std::min<std::size_t>(members.size(), storeReadersPerDomain));
        auto& readers = domain == ownDomain ? own : others;
        readers.insert(readers.end(), members.begin(), members.end());
    }
    own.insert(own.end(), others.begin(), others.end());
    return own;
}

std::string FleetView::ownerOf(const std::string& service, const std::set<std::string>& avoided, TimePoint now) const
{
    auto key = "pool/" + service;
    std::string owner = m_self;
    auto best = std::pair(m_capacity, rendezvousWeight(m_self, key));
    for (const auto& peer : reachablePeers(now)) {
        auto weight = std::pair(peer.capacity, rendezvousWeight(peer.name, key));
        if (weight <= best || avoided.count(peer.name) > 0)
            continue;
        best = weight;
        owner = peer.name;
    }
    return owner;
}

const InstanceRecord* FleetView::find(const std::string& name) const
{
    for (const auto& [key, record] : m_registered) {
        if (record.name == name)
            return &record;
    }
    return nullptr;
}

}
