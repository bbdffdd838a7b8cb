#include "fleet/fleetview.h"

#include "common/hash.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Silence after which an instance's load no longer counts: three lost reports in a row.
    constexpr auto silenceLimit = Milliseconds(1500);
    /// Instances that read the store for the fleet. Where one fails, its followers turn to
    /// another, and to anybody or the store once their copy is stale. Each call is priced.
    constexpr std::size_t fewestStoreReaders = 2;
    /// Followers that one reader feeds: each asks about once a second.
    constexpr std::size_t followersOfReader = 100;
    constexpr const char* storeReaderKey = "store-reader";

}

void FleetView::onRegistered(const std::string& key, InstanceRecord record)
{
    m_registered.insert_or_assign(key, std::move(record));
}

void FleetView::onUnregistered(const std::string& key)
{
    m_registered.erase(key);
}

bool FleetView::onReport(const InstanceLoadReport& report, TimePoint now)
{
    if (report.instance == m_self)
        return false;
    auto& heard = m_heard[report.instance];
    if (report.sequence <= heard.sequence)
        return false;
    heard = { .sequence = report.sequence, .at = now };
    return true;
}

std::vector<std::string> FleetView::takeUnresponsivePeers(TimePoint now)
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

std::size_t FleetView::storeReaderCount() const
{
    return std::max(fewestStoreReaders, (static_cast<std::size_t>(instanceCount()) + followersOfReader - 1) / followersOfReader);
}

bool FleetView::readsStore(TimePoint now) const
{
    auto own = std::pair(m_capacity, rendezvousWeight(m_self, storeReaderKey));
    auto reachable = reachablePeers(now);
    auto ahead = std::count_if(reachable.begin(), reachable.end(), [&](const InstanceRecord& peer) { return std::pair(peer.capacity, rendezvousWeight(peer.name, storeReaderKey)) > own; });
    return static_cast<std::size_t>(ahead) < storeReaderCount();
}

std::vector<InstanceRecord> FleetView::storeReaders(const std::string& ownDomain, TimePoint now) const
{
    auto readers = reachablePeers(now);
    auto weight = [](const InstanceRecord& peer) { return std::pair(peer.capacity, rendezvousWeight(peer.name, storeReaderKey)); };
    std::sort(readers.begin(), readers.end(), [&](const InstanceRecord& left, const InstanceRecord& right) { return weight(left) > weight(right); });
    readers.resize(std::min(readers.size(), storeReaderCount()));
    std::stable_partition(readers.begin(), readers.end(), [&](const InstanceRecord& peer) { return peer.failureDomain == ownDomain; });
    return readers;
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
