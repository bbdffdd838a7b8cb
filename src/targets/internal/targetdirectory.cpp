#include "targets/targetdirectory.h"

#include <algorithm>
#include <tuple>

namespace guavaspan {

namespace {

    /// Targets write expired entries again within about two seconds after the store is reachable again, as the
    /// platform's discovery contract requires.
    constexpr auto rewriteTimeout = Milliseconds(2000);

    /// Time for which the report of an incarnation without an entry is kept: longer than the store delays a write, and than a target
    /// serves after it has said that it drains.
    constexpr auto drainingReportLifetime = Seconds(60);

    /// Time within which every instance knows of an evacuation.
    constexpr auto evacuationSpreadTime = Seconds(5);

}

std::strong_ordering compareWriteOrder(const TargetEntry& left, const TargetEntry& right)
{
    return std::tie(left.startedAt, left.sequence, left.state) <=> std::tie(right.startedAt, right.sequence, right.state);
}

std::string_view toString(UnavailableReason reason)
{
    switch (reason) {
    case UnavailableReason::Announced:
        return "announced";
    case UnavailableReason::AskedTarget:
        return "asked_target";
    case UnavailableReason::EntryRemoved:
        return "entry_removed";
    case UnavailableReason::Restarted:
        return "restarted";
    }
    return "announced";
}

void TargetDirectory::onEntryWritten(const std::string& id, std::optional<TargetEntry> entry, TimePoint now)
{
    auto target = m_targets.find(id);
    if (!entry) {
        if (target != m_targets.end())
            removeTarget(target, UnavailableReason::EntryRemoved, now);
        return;
    }
    if (isDrainingReported(id, entry->startedAt))
        entry->state = TargetState::Draining;
    if (target == m_targets.end()) {
        m_targets.emplace(id, KnownTarget { .entry = std::move(*entry) });
        return;
    }
    bool restarted = target->second.entry.startedAt != entry->startedAt;
    bool startsDraining = target->second.entry.state == TargetState::Ready && entry->state == TargetState::Draining;
    if (restarted && m_listener)
        m_listener({ .entry = target->second.entry, .reason = UnavailableReason::Restarted, .at = now });
    target->second = KnownTarget { .entry = std::move(*entry) };
    if (!restarted && startsDraining && m_listener)
        m_listener({ .entry = target->second.entry, .reason = UnavailableReason::Announced, .at = now });
}

void TargetDirectory::onEntryRemoved(const std::string& id, TimePoint now)
{
    auto target = m_targets.find(id);
    if (target == m_targets.end())
        return;
    if (target->second.entry.state == TargetState::Ready && mayBeLeaseExpiry(now)) {
        target->second.rewriteDeadline = (m_storeReachable ? *m_storeRegainedAt : now) + rewriteTimeout;
        return;
    }
    removeTarget(target, UnavailableReason::EntryRemoved, now);
}

void TargetDirectory::onDrainingReported(const std::string& id, std::int64_t startedAt, TimePoint now, std::optional<Milliseconds> timeToShutdown)
{
    auto target = m_targets.find(id);
    bool listed = target != m_targets.end() && target->second.entry.startedAt == startedAt;
    // A write that the store executes late may bring back an entry that is removed. Without a start time it may be another incarnation's.
    if (listed || startedAt != 0)
        m_drainingReports.insert_or_assign({ id, startedAt }, now);
    if (!listed)
        return;
    if (target->second.entry.state == TargetState::Draining)
        return;
    target->second.entry.state = TargetState::Draining;
    std::optional<TimePoint> shutdownAt;
    if (timeToShutdown)
        shutdownAt = now + *timeToShutdown;
    if (m_listener)
        m_listener({ .entry = target->second.entry, .reason = UnavailableReason::AskedTarget, .at = now, .shutdownAt = shutdownAt });
}

void TargetDirectory::onSnapshot(const std::vector<TargetEntry>& entries, TimePoint now)
{
    std::map<std::string, const TargetEntry*> byId;
    for (const auto& entry : entries)
        byId.emplace(entry.id, &entry);
    std::vector<std::string> missing;
    for (const auto& [id, target] : m_targets) {
        if (byId.count(id) == 0)
            missing.push_back(id);
    }
    for (const auto& id : missing)
        onEntryRemoved(id, now);
    for (const auto& entry : entries)
        onEntryWritten(entry.id, entry, now);
}

void TargetDirectory::onStoreLost(TimePoint)
{
    m_storeReachable = false;
}

void TargetDirectory::onStoreRegained(TimePoint at)
{
    m_storeRegainedAt = std::max(m_storeRegainedAt.value_or(at), at);
    m_storeReachable = true;
}

void TargetDirectory::onStoreNotLost()
{
    m_storeReachable = true;
    for (auto& [id, target] : m_targets) {
        if (target.rewriteDeadline)
            target.rewriteDeadline = m_storeRegainedAt.value_or(TimePoint::min()) + rewriteTimeout;
    }
}

void TargetDirectory::onStoreRestored(TimePoint now)
{
    m_storeReachable = true;
    m_storeRegainedAt = now;
    m_evacuations.onStoreRestored(now);
}

void TargetDirectory::onTick(TimePoint now)
{
    m_evacuations.onTick(now);
    forgetDrainingReports(now);
    for (auto target = m_targets.begin(); target != m_targets.end();) {
        auto current = target++;
        if (current->second.rewriteDeadline && *current->second.rewriteDeadline <= now)
            removeTarget(current, UnavailableReason::EntryRemoved, now);
    }
}

std::vector<const TargetEntry*> TargetDirectory::usableTargets(const std::string& service) const
{
    std::vector<const TargetEntry*> entries;
    for (const auto& [id, target] : m_targets) {
        if (target.entry.service == service && takesRequests(target))
            entries.push_back(&target.entry);
    }
    return entries;
}

std::vector<const TargetEntry*> TargetDirectory::usableTargets() const
{
    std::vector<const TargetEntry*> entries;
    for (const auto& [id, target] : m_targets) {
        if (takesRequests(target))
            entries.push_back(&target.entry);
    }
    return entries;
}

const TargetEntry* TargetDirectory::find(const std::string& id) const
{
    auto target = m_targets.find(id);
    return target == m_targets.end() ? nullptr : &target->second.entry;
}

bool TargetDirectory::allEvacuated(const std::string& service) const
{
    if (m_evacuations.empty())
        return false;
    bool anyEvacuated = false;
    for (const auto& [id, target] : m_targets) {
        if (target.entry.service != service || target.entry.state != TargetState::Ready)
            continue;
        if (!isEvacuated(target.entry))
            return false;
        anyEvacuated = true;
    }
    return anyEvacuated;
}

std::set<std::string> TargetDirectory::lateEvacuatedTargets(const std::string& service, TimePoint now) const
{
    std::set<std::string> ids;
    if (m_evacuations.empty())
        return ids;
    for (const auto& [id, target] : m_targets) {
        auto since = m_evacuations.evacuatedSince(target.entry.failureDomain);
        if (since && now < *since + evacuationSpreadTime && target.entry.service == service && target.entry.state == TargetState::Ready)
            ids.insert(id);
    }
    return ids;
}

std::size_t TargetDirectory::targetsIn(const std::string& failureDomain) const
{
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [&](const auto& known) { return known.second.entry.failureDomain == failureDomain; }));
}

bool TargetDirectory::isReady(const std::string& id) const
{
    const auto* entry = find(id);
    return entry && entry->state == TargetState::Ready;
}

bool TargetDirectory::isEntryMissing(const std::string& id) const
{
    auto target = m_targets.find(id);
    return target != m_targets.end() && target->second.rewriteDeadline.has_value();
}

bool TargetDirectory::isIncarnationReady(const TargetEntry& incarnation) const
{
    const auto* entry = find(incarnation.id);
    return entry && entry->startedAt == incarnation.startedAt && entry->state == TargetState::Ready;
}

bool TargetDirectory::isUsable(const std::string& id) const
{
    const auto* entry = find(id);
    return entry && isReady(id) && !isEvacuated(*entry);
}

bool TargetDirectory::isIncarnationUsable(const TargetEntry& incarnation) const
{
    const auto* entry = find(incarnation.id);
    return entry && isIncarnationReady(incarnation) && !isEvacuated(*entry);
}

void TargetDirectory::removeTarget(std::map<std::string, KnownTarget>::iterator target, UnavailableReason reason, TimePoint now)
{
    auto entry = std::move(target->second.entry);
    bool wasReady = entry.state == TargetState::Ready;
    if (entry.startedAt == 0)
        m_drainingReports.erase({ entry.id, entry.startedAt });
    m_targets.erase(target);
    if (wasReady && m_listener)
        m_listener({ .entry = std::move(entry), .reason = reason, .at = now });
}

void TargetDirectory::forgetDrainingReports(TimePoint now)
{
    for (auto& [incarnation, lastListedAt] : m_drainingReports) {
        const auto* entry = find(incarnation.first);
        if (entry && entry->startedAt == incarnation.second)
            lastListedAt = now;
    }
    std::erase_if(m_drainingReports, [&](const auto& report) { return report.second + drainingReportLifetime <= now; });
}

bool TargetDirectory::mayBeLeaseExpiry(TimePoint now) const
{
    return !m_storeReachable || (m_storeRegainedAt && now < *m_storeRegainedAt + rewriteTimeout);
}

}
