#include "fleet/fleetview.h"

#include "common/hash.h"
#include "fleet/storerewrite.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Time without a report after which an instance's load no longer counts: three consecutive reports lost.
    constexpr auto reportTimeout = Milliseconds(1500);
    /// Instances that read the store for the fleet; few, because each call to the store is charged.
    /// If a reader fails, its followers switch to another one or, once their copy is stale, to any
    /// peer or to the store itself.
    constexpr std::size_t minStoreReaders = 2;
    /// Followers that one reader serves; each sends it about one request per second.
    constexpr std::size_t followersPerReader = 100;
    /// Time to notice that the store was restored, to register, and for others to read it.
    constexpr auto registrationTime = Milliseconds(2500);
    constexpr const char* storeReaderKey = "store-reader";

}

void FleetView::onRegistered(const std::string& key, InstanceRecord record)
{
    m_registered.insert_or_assign(key, std::move(record));
    m_lostKeys.erase(key);
}

void FleetView::onUnregistered(const std::string& key, TimePoint now)
{
    if (now < m_lostKeysKeptUntil)
        m_lostKeys.insert(key);
    else
        m_registered.erase(key);
}

void FleetView::onStoreRestored(TimePoint now)
{
    m_lostKeysKeptUntil = now + rewriteSpread(instanceCount(), callsToRegisterAgain) + registrationTime;
}

void FleetView::onTick(TimePoint now)
{
    if (m_lostKeys.empty() || now < m_lostKeysKeptUntil)
        return;
    for (const auto& key : m_lostKeys)
        m_registered.erase(key);
    m_lostKeys.clear();
}

bool FleetView::onReport(const InstanceLoadReport& report, TimePoint now)
{
    if (report.instance == m_self)
        return false;
    auto& lastReport = m_lastReports[report.instance];
    if (report.sequence <= lastReport.sequence)
        return false;
    lastReport = { .sequence = report.sequence, .receivedAt = now, .relaysForPeers = report.relaysForPeers, .unreachableServices = report.unreachableServices, .knowsStoreEra = report.storeEra > 0 };
    return true;
}

std::vector<std::string> FleetView::takeUnresponsivePeers(TimePoint now)
{
    std::vector<std::string> unresponsive;
    for (auto& [name, lastReport] : m_lastReports) {
        if (lastReport.receivedAt + reportTimeout < now)
            unresponsive.push_back(name);
    }
    for (const auto& name : unresponsive)
        m_lastReports.erase(name);
    return unresponsive;
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

std::vector<std::string> FleetView::peerNames() const
{
    std::vector<std::string> names;
    for (const auto& peer : peers())
        names.push_back(peer.name);
    return names;
}

std::vector<InstanceRecord> FleetView::reachablePeers(TimePoint now) const
{
    auto records = peers();
    std::erase_if(records, [&](const InstanceRecord& record) {
        auto lastReport = m_lastReports.find(record.name);
        return lastReport == m_lastReports.end() || lastReport->second.receivedAt + reportTimeout < now;
    });
    return records;
}

std::vector<InstanceRecord> FleetView::relayingPeers(const std::string& service, TimePoint now) const
{
    auto records = reachablePeers(now);
    std::erase_if(records, [&](const InstanceRecord& record) {
        const auto& report = m_lastReports.at(record.name);
        return !record.callerEndpoint || !report.relaysForPeers || report.unreachableServices.contains(service);
    });
    return records;
}

std::size_t FleetView::storeReaderCount() const
{
    return std::max(minStoreReaders, (static_cast<std::size_t>(instanceCount()) + followersPerReader - 1) / followersPerReader);
}

/// Instances of older versions cannot tell whether their copies are of the store's current era.
std::vector<InstanceRecord> FleetView::possibleStoreReaders(TimePoint now, bool storeStatesEras) const
{
    auto readers = reachablePeers(now);
    std::erase_if(readers, [&](const InstanceRecord& peer) { return storeStatesEras && !m_lastReports.at(peer.name).knowsStoreEra; });
    return readers;
}

bool FleetView::readsStore(TimePoint now, bool storeStatesEras) const
{
    auto selfWeight = std::pair(m_cpuMillicores, rendezvousWeight(m_self, storeReaderKey));
    auto reachable = possibleStoreReaders(now, storeStatesEras);
    auto higherRanked = std::count_if(reachable.begin(), reachable.end(), [&](const InstanceRecord& peer) { return std::pair(peer.cpuMillicores, rendezvousWeight(peer.name, storeReaderKey)) > selfWeight; });
    return static_cast<std::size_t>(higherRanked) < storeReaderCount();
}

std::vector<InstanceRecord> FleetView::storeReaders(const std::string& localFailureDomain, TimePoint now, bool storeStatesEras) const
{
    auto readers = possibleStoreReaders(now, storeStatesEras);
    auto weight = [](const InstanceRecord& peer) { return std::pair(peer.cpuMillicores, rendezvousWeight(peer.name, storeReaderKey)); };
    std::sort(readers.begin(), readers.end(), [&](const InstanceRecord& left, const InstanceRecord& right) { return weight(left) > weight(right); });
    readers.resize(std::min(readers.size(), storeReaderCount()));
    std::stable_partition(readers.begin(), readers.end(), [&](const InstanceRecord& peer) { return peer.failureDomain == localFailureDomain; });
    return readers;
}

std::string FleetView::ownerOf(const std::string& service, const std::set<std::string>& excluded, TimePoint now) const
{
    auto key = "pool/" + service;
    std::string owner = m_self;
    auto highestWeight = std::pair(m_cpuMillicores, rendezvousWeight(m_self, key));
    for (const auto& peer : reachablePeers(now)) {
        auto weight = std::pair(peer.cpuMillicores, rendezvousWeight(peer.name, key));
        if (weight <= highestWeight || excluded.count(peer.name) > 0)
            continue;
        highestWeight = weight;
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
