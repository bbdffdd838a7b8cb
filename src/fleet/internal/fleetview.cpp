#include "fleet/fleetview.h"

#include "common/hash.h"
#include "common/log.h"
#include "fleet/storerewrite.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Time without a report after which an instance's load no longer counts: three consecutive reports lost.
    constexpr auto reportTimeout = Milliseconds(1500);
    /// An aggregator notices the end of reports sooner, as its summary takes a moment to reach the others.
    constexpr auto aggregatedReportTimeout = Milliseconds(1350);
    /// Time without a summary after which an instance chooses another aggregator.
    constexpr auto summaryTimeout = Milliseconds(1500);
    /// Time without a summary in which its aggregator may still be alive: two summaries, of which one is lost.
    constexpr auto longestSummaryPause = Milliseconds(1100);
    /// Time for which an aggregator is passed over that sent no summary.
    constexpr auto suspicionTime = Milliseconds(3000);
    /// Largest fleet in which every instance reports to all others.
    constexpr int maxMeshInstances = 16;
    /// Aggregators from which an instance takes broadcasts, so that it gets them if one is lost.
    constexpr std::size_t aggregatorsPerInstance = 2;
    /// Instances that read the store for the fleet; few, because each call to the store is charged.
    /// If a reader fails, its followers switch to another one or, once their copy is stale, to any
    /// peer or to the store itself.
    constexpr std::size_t minStoreReaders = 2;
    /// Followers that one reader serves; each sends it about one request per second.
    constexpr std::size_t followersPerReader = 100;
    /// Time to notice that the store was restored, to register, and for others to read it.
    constexpr auto registrationTime = Milliseconds(2500);
    constexpr const char* storeReaderKey = "store-reader";

    bool contains(const std::vector<std::string>& names, const std::string& name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

}

void FleetView::onRegistered(const std::string& key, InstanceRecord record, TimePoint now)
{
    m_suspectedUntil.erase(record.name);
    m_registry.onRegistered(key, std::move(record), now);
}

void FleetView::onUnregistered(const std::string& key, TimePoint now)
{
    m_registry.onUnregistered(key, now);
}

void FleetView::onStoreRestored(TimePoint now)
{
    m_registry.onStoreRestored(rewriteSpread(instanceCount(), callsToRegisterAgain) + registrationTime, now);
}

void FleetView::onTick(TimePoint now)
{
    m_registry.onTick(now);
    updateRole(now);
}

bool FleetView::onReport(const InstanceLoadReport& report, TimePoint now)
{
    if (report.instance == m_self)
        return false;
    auto& lastReport = m_lastReports[report.instance];
    if (report.sequence <= lastReport.sequence)
        return false;
    lastReport = { .sequence = report.sequence, .receivedAt = now, .relaysForPeers = report.relaysForPeers, .unreachableServices = report.unreachableServices, .knowsStoreEra = report.storeEra > 0, .aggregators = report.aggregators };
    return true;
}

/// Another aggregator than the first one counts if it tells that those before it are silent, which their members notice later, unless the
/// one that it calls silent has just sent a summary. If all are silent, several others tell it; a member needs only one of them.
bool FleetView::acceptsSummaryOf(const FleetSummary& summary, TimePoint now) const
{
    if (m_ownAggregators.empty())
        return false;
    auto sender = std::find(m_ownAggregators.begin(), m_ownAggregators.end(), summary.aggregator);
    bool othersAreSilent = std::all_of(m_ownAggregators.begin(), sender, [&](const std::string& name) { return summary.silentInstances.contains(name); });
    bool sourceIsSilent = summary.silentInstances.contains(m_summary.aggregator);
    bool sourceResponds = m_summary.aggregator != summary.aggregator && now < m_summaryReceivedAt + longestSummaryPause;
    bool neitherIsOwn = sender == m_ownAggregators.end() && !contains(m_ownAggregators, m_summary.aggregator);
    if (sender == m_ownAggregators.begin() || !sourceResponds)
        return othersAreSilent;
    return othersAreSilent && !sourceIsSilent && (aggregates() || !neitherIsOwn);
}

bool FleetView::onSummary(const FleetSummary& summary, TimePoint now)
{
    if (!acceptsSummaryOf(summary, now))
        return false;
    if (summary.aggregator == m_summary.aggregator && summary.sequence <= m_summary.sequence)
        return false;
    m_summary = summary;
    m_summaryReceivedAt = now;
    return true;
}

std::vector<std::string> FleetView::takeUnresponsivePeers(TimePoint now)
{
    std::vector<std::string> unresponsive;
    for (const auto& [name, lastReport] : m_lastReports) {
        if (!isRecentlyReported(name, now))
            unresponsive.push_back(name);
    }
    for (const auto& name : unresponsive)
        m_lastReports.erase(name);
    return unresponsive;
}

std::vector<InstanceRecord> FleetView::peers() const
{
    return recordsOf(peerNames());
}

std::vector<std::string> FleetView::peerNames() const
{
    return peerNamesIf([](const std::string&) { return true; });
}

template <typename Predicate>
std::vector<std::string> FleetView::peerNamesIf(Predicate predicate) const
{
    std::vector<std::string> names;
    m_registry.forEachName([&](const std::string& name) {
        if (name != m_self && predicate(name))
            names.push_back(name);
    });
    return names;
}

std::vector<InstanceRecord> FleetView::recordsOf(const std::vector<std::string>& names) const
{
    std::vector<InstanceRecord> records;
    records.reserve(names.size());
    for (const auto& name : names) {
        if (const auto* record = find(name))
            records.push_back(*record);
    }
    return records;
}

int FleetView::instanceCount() const
{
    return static_cast<int>(m_registry.size()) + (m_registry.contains(m_self) ? 0 : 1);
}

int FleetView::cpuOf(const std::string& name) const
{
    const auto* record = find(name);
    return name == m_self || !record ? m_cpuMillicores : record->cpuMillicores;
}

bool FleetView::usesSummaries() const
{
    return m_registry.allReadSummaries() && instanceCount() > maxMeshInstances;
}

bool FleetView::isRecentlyReported(const std::string& name, TimePoint now) const
{
    auto timeout = aggregates() ? aggregatedReportTimeout : reportTimeout;
    auto lastReport = m_lastReports.find(name);
    return lastReport != m_lastReports.end() && now <= lastReport->second.receivedAt + timeout;
}

bool FleetView::hasRecentSummary(TimePoint now) const
{
    return m_summary.sequence > 0 && now <= m_summaryReceivedAt + summaryTimeout;
}

/// Others may not report to a new aggregator yet, and a new instance has not reported to anyone.
bool FleetView::awaitsFirstReport(const std::string& name, TimePoint now) const
{
    if (now < *m_aggregatingSince + reportTimeout && !m_summary.silentInstances.contains(name))
        return true;
    auto registeredAt = m_registry.registeredAt(name);
    return registeredAt && now < *registeredAt + reportTimeout;
}

bool FleetView::isReachable(const std::string& name, TimePoint now) const
{
    if (isRecentlyReported(name, now))
        return true;
    if (!usesSummaries())
        return false;
    if (aggregates())
        return awaitsFirstReport(name, now);
    return hasRecentSummary(now) && !m_summary.silentInstances.contains(name);
}

/// An instance that knows nothing of another one expects it to respond, so that instances that start together choose the same
/// aggregators.
bool FleetView::mayAggregate(const std::string& name, TimePoint now) const
{
    if (name == m_self)
        return true;
    auto suspected = m_suspectedUntil.find(name);
    if (suspected != m_suspectedUntil.end() && now < suspected->second)
        return false;
    if (isRecentlyReported(name, now))
        return true;
    return aggregates() ? awaitsFirstReport(name, now) : !(hasRecentSummary(now) && m_summary.silentInstances.contains(name));
}

const AggregatorRanking& FleetView::ranking() const
{
    if (!m_ranking || m_rankedVersion != m_registry.version()) {
        auto instances = peers();
        instances.push_back({ .name = m_self, .failureDomain = m_failureDomain, .cpuMillicores = m_cpuMillicores });
        m_ranking.emplace(instances);
        m_rankedVersion = m_registry.version();
    }
    return *m_ranking;
}

std::vector<std::string> FleetView::aggregators(TimePoint now) const
{
    if (!usesSummaries())
        return {};
    return ranking().choose([&](const std::string& name) { return mayAggregate(name, now); });
}

/// The aggregators of the own failure domain come first, in an order that spreads the instances over them.
std::vector<std::string> FleetView::preferredAggregators(TimePoint now) const
{
    auto preferred = aggregators(now);
    auto distance = [&](const std::string& name) {
        const auto* record = find(name);
        bool local = record && record->failureDomain == m_failureDomain;
        return std::pair(local ? 0 : 1, rendezvousWeight(m_self, name));
    };
    std::sort(preferred.begin(), preferred.end(), [&](const std::string& left, const std::string& right) { return distance(left) < distance(right); });
    return preferred;
}

void FleetView::suspectSilentAggregator(TimePoint now)
{
    if (m_ownAggregators.empty())
        return;
    const auto& aggregator = m_ownAggregators.front();
    auto heardAt = m_summary.aggregator == aggregator ? std::max(m_summaryReceivedAt, m_aggregatorChosenAt) : m_aggregatorChosenAt;
    if (now <= heardAt + summaryTimeout)
        return;
    logEvent(LogLevel::Warning, "aggregator_silent", { { "aggregator", aggregator }, { "silent_ms", std::chrono::duration_cast<Milliseconds>(now - heardAt).count() } });
    m_suspectedUntil[aggregator] = now + suspicionTime;
}

void FleetView::updateRole(TimePoint now)
{
    std::erase_if(m_suspectedUntil, [&](const auto& entry) { return entry.second <= now; });
    suspectSilentAggregator(now);
    auto preferred = preferredAggregators(now);
    bool aggregatesNow = contains(preferred, m_self);
    if (aggregatesNow && !m_aggregatingSince) {
        logEvent(LogLevel::Info, "aggregates", { { "instances", std::int64_t(instanceCount()) }, { "aggregators", std::int64_t(preferred.size()) } });
        m_aggregatingSince = now;
    }
    if (!aggregatesNow && m_aggregatingSince) {
        logEvent(LogLevel::Info, "no_longer_aggregates", { { "instances", std::int64_t(instanceCount()) } });
        m_aggregatingSince.reset();
    }
    std::erase(preferred, m_self);
    // Until the others report to it, a new aggregator learns of them from another one.
    bool needsSummaries = !m_aggregatingSince || now < *m_aggregatingSince + reportTimeout;
    preferred.resize(needsSummaries ? std::min(preferred.size(), aggregatorsPerInstance) : 0);
    chooseAggregators(std::move(preferred), now);
}

void FleetView::chooseAggregators(std::vector<std::string> chosen, TimePoint now)
{
    bool changed = !chosen.empty() && (m_ownAggregators.empty() || chosen.front() != m_ownAggregators.front());
    m_ownAggregators = std::move(chosen);
    if (!changed)
        return;
    m_aggregatorChosenAt = now;
    logEvent(LogLevel::Info, "aggregator_chosen", { { "aggregator", m_ownAggregators.front() } });
}

std::vector<std::string> FleetView::reportRecipients(TimePoint now) const
{
    if (!usesSummaries())
        return peerNames();
    auto recipients = aggregators(now);
    for (auto& name : otherAggregators(now)) {
        if (!contains(recipients, name))
            recipients.push_back(std::move(name));
    }
    std::erase(recipients, m_self);
    return recipients;
}

/// After a partition each side has aggregators of its own, which know of the others only if one side reports to the other. So an
/// aggregator also reports to those in whose place it was chosen, and to those that aggregate for another side.
std::vector<std::string> FleetView::otherAggregators(TimePoint now) const
{
    if (!aggregates())
        return {};
    auto names = ranking().choose([](const std::string&) { return true; });
    for (const auto& [name, lastReport] : m_lastReports) {
        if (lastReport.aggregators.empty() && isRecentlyReported(name, now))
            names.push_back(name);
    }
    return names;
}

/// The first of an instance's aggregators that responds sends it summaries; if none does, all that receive its reports.
bool FleetView::isMember(const std::vector<std::string>& aggregatorsOfInstance, TimePoint now) const
{
    if (aggregatorsOfInstance.empty())
        return false;
    auto first = std::find_if(aggregatorsOfInstance.begin(), aggregatorsOfInstance.end(), [&](const std::string& name) { return name == m_self || isReachable(name, now); });
    return first == aggregatorsOfInstance.end() || *first == m_self;
}

/// If neither other aggregators nor instances that chose this one report to it, the others have chosen another one in its place, or it is
/// cut off.
bool FleetView::isUsedAsAggregator(TimePoint now) const
{
    if (!aggregates())
        return false;
    bool awaitsReports = now < *m_aggregatingSince + reportTimeout;
    return awaitsReports || std::any_of(m_lastReports.begin(), m_lastReports.end(), [&](const auto& entry) {
        const auto& chosen = entry.second.aggregators;
        return (chosen.empty() || chosen.front() == m_self) && isRecentlyReported(entry.first, now);
    });
}

std::vector<std::string> FleetView::members(TimePoint now) const
{
    std::vector<std::string> names;
    if (!isUsedAsAggregator(now))
        return names;
    for (const auto& [name, lastReport] : m_lastReports) {
        if (isRecentlyReported(name, now) && isMember(lastReport.aggregators, now))
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> FleetView::subscribers(TimePoint now) const
{
    std::vector<std::string> names;
    for (const auto& [name, lastReport] : m_lastReports) {
        if (contains(lastReport.aggregators, m_self) && isRecentlyReported(name, now))
            names.push_back(name);
    }
    return names;
}

std::set<std::string> FleetView::silentInstances(TimePoint now) const
{
    auto names = peerNamesIf([&](const std::string& name) { return !isReachable(name, now); });
    return { names.begin(), names.end() };
}

std::set<std::string> FleetView::instancesNotRelaying(TimePoint now) const
{
    std::set<std::string> names;
    for (const auto& [name, lastReport] : m_lastReports) {
        if (!lastReport.relaysForPeers && isRecentlyReported(name, now))
            names.insert(name);
    }
    return names;
}

std::map<std::string, std::set<std::string>> FleetView::unreachableServices(TimePoint now) const
{
    std::map<std::string, std::set<std::string>> services;
    for (const auto& [name, lastReport] : m_lastReports) {
        if (!lastReport.unreachableServices.empty() && isRecentlyReported(name, now))
            services.emplace(name, lastReport.unreachableServices);
    }
    return services;
}

std::vector<InstanceRecord> FleetView::reachablePeers(TimePoint now) const
{
    return recordsOf(peerNamesIf([&](const std::string& name) { return isReachable(name, now); }));
}

std::vector<InstanceRecord> FleetView::relayingPeers(const std::string& service, TimePoint now) const
{
    auto relays = [&](const InstanceRecord& record) {
        if (!record.callerEndpoint)
            return false;
        auto report = m_lastReports.find(record.name);
        if (report != m_lastReports.end())
            return report->second.relaysForPeers && !report->second.unreachableServices.contains(service);
        auto unreachable = m_summary.unreachableServices.find(record.name);
        return !m_summary.instancesNotRelaying.contains(record.name) && (unreachable == m_summary.unreachableServices.end() || !unreachable->second.contains(service));
    };
    auto records = reachablePeers(now);
    std::erase_if(records, [&](const InstanceRecord& record) { return !relays(record); });
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

/// The other aggregators follow these, and all other instances follow an aggregator.
std::vector<std::string> FleetView::storeReadingAggregators(TimePoint now, bool storeStatesEras) const
{
    auto readers = aggregators(now);
    std::erase_if(readers, [&](const std::string& name) {
        auto report = m_lastReports.find(name);
        return storeStatesEras && report != m_lastReports.end() && !report->second.knowsStoreEra;
    });
    auto weight = [&](const std::string& name) { return std::pair(cpuOf(name), rendezvousWeight(name, storeReaderKey)); };
    std::sort(readers.begin(), readers.end(), [&](const std::string& left, const std::string& right) { return weight(left) > weight(right); });
    readers.resize(std::min(readers.size(), minStoreReaders));
    return readers;
}

bool FleetView::readsStore(TimePoint now, bool storeStatesEras) const
{
    if (usesSummaries())
        return contains(storeReadingAggregators(now, storeStatesEras), m_self);
    auto selfWeight = std::pair(m_cpuMillicores, rendezvousWeight(m_self, storeReaderKey));
    auto reachable = possibleStoreReaders(now, storeStatesEras);
    auto higherRanked = std::count_if(reachable.begin(), reachable.end(), [&](const InstanceRecord& peer) { return std::pair(peer.cpuMillicores, rendezvousWeight(peer.name, storeReaderKey)) > selfWeight; });
    return static_cast<std::size_t>(higherRanked) < storeReaderCount();
}

std::vector<InstanceRecord> FleetView::storeReaders(const std::string& localFailureDomain, TimePoint now, bool storeStatesEras) const
{
    if (usesSummaries())
        return recordsOf(aggregates() ? storeReadingAggregators(now, storeStatesEras) : preferredAggregators(now));
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
    auto weightOf = [&](const std::string& name) { return std::pair(cpuOf(name), rendezvousWeight(name, key)); };
    std::vector<std::string> candidates;
    if (usesSummaries()) {
        candidates = aggregators(now);
    } else {
        candidates = peerNamesIf([&](const std::string& name) { return isRecentlyReported(name, now); });
        candidates.push_back(m_self);
    }
    std::erase_if(candidates, [&](const std::string& name) { return name != m_self && excluded.contains(name); });
    auto owner = std::max_element(candidates.begin(), candidates.end(), [&](const std::string& left, const std::string& right) { return weightOf(left) < weightOf(right); });
    return owner == candidates.end() ? m_self : *owner;
}

bool FleetView::ownsPool(const std::string& service, TimePoint now) const
{
    auto responding = std::count_if(m_lastReports.begin(), m_lastReports.end(), [&](const auto& entry) { return isRecentlyReported(entry.first, now); });
    return 2 * (responding + 1) > instanceCount() && ownerOf(service, {}, now) == m_self;
}

}
