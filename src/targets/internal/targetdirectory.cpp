#include "targets/targetdirectory.h"

namespace guavaspan {

namespace {

    /// Targets write lapsed entries again within about two seconds of the store's return (platform's discovery contract).
    constexpr auto rewriteTime = Milliseconds(2000);

}

std::string_view toString(LeaveReason reason)
{
    switch (reason) {
    case LeaveReason::Announced:
        return "announced";
    case LeaveReason::AskedTarget:
        return "asked_target";
    case LeaveReason::EntryRemoved:
        return "entry_removed";
    case LeaveReason::Restarted:
        return "restarted";
    }
    return "announced";
}

void TargetDirectory::onWritten(const std::string& id, std::optional<TargetEntry> entry, TimePoint now)
{
    auto known = m_targets.find(id);
    if (!entry) {
        if (known != m_targets.end())
            leave(known, LeaveReason::EntryRemoved, now);
        return;
    }
    if (known == m_targets.end()) {
        m_targets.emplace(id, Known { .entry = std::move(*entry) });
        return;
    }
    bool restarted = known->second.entry.startedAt != entry->startedAt;
    bool saidToLeave = known->second.saidToLeave && !restarted;
    if (saidToLeave)
        entry->state = TargetState::Leaving;
    bool leavesNow = known->second.entry.state == TargetState::Ready && entry->state == TargetState::Leaving;
    if (restarted && m_listener)
        m_listener({ .entry = known->second.entry, .reason = LeaveReason::Restarted, .at = now });
    known->second = Known { .entry = std::move(*entry), .saidToLeave = saidToLeave };
    if (!restarted && leavesNow && m_listener)
        m_listener({ .entry = known->second.entry, .reason = LeaveReason::Announced, .at = now });
}

void TargetDirectory::onRemoved(const std::string& id, TimePoint now)
{
    auto known = m_targets.find(id);
    if (known == m_targets.end())
        return;
    if (known->second.entry.state == TargetState::Ready && removalMayBeLapse(now)) {
        known->second.lapsedUntil = m_regainedAt.value_or(now) + rewriteTime;
        return;
    }
    leave(known, LeaveReason::EntryRemoved, now);
}

void TargetDirectory::onSaidToLeave(const std::string& id, std::int64_t startedAt, TimePoint now)
{
    auto known = m_targets.find(id);
    if (known == m_targets.end() || known->second.entry.startedAt != startedAt)
        return;
    known->second.saidToLeave = true;
    if (known->second.entry.state == TargetState::Leaving)
        return;
    known->second.entry.state = TargetState::Leaving;
    if (m_listener)
        m_listener({ .entry = known->second.entry, .reason = LeaveReason::AskedTarget, .at = now });
}

void TargetDirectory::onListed(const std::vector<TargetEntry>& listed, TimePoint now)
{
    std::map<std::string, const TargetEntry*> byId;
    for (const auto& entry : listed)
        byId.emplace(entry.id, &entry);
    std::vector<std::string> missing;
    for (const auto& [id, known] : m_targets) {
        if (byId.count(id) == 0)
            missing.push_back(id);
    }
    for (const auto& id : missing)
        onRemoved(id, now);
    for (const auto& entry : listed)
        onWritten(entry.id, entry, now);
}

void TargetDirectory::onStoreLost(TimePoint)
{
    m_storeReachable = false;
}

void TargetDirectory::onStoreRegained(TimePoint now)
{
    if (!m_storeReachable)
        m_regainedAt = now;
    m_storeReachable = true;
}

void TargetDirectory::onTick(TimePoint now)
{
    for (auto known = m_targets.begin(); known != m_targets.end();) {
        auto current = known++;
        if (current->second.lapsedUntil && *current->second.lapsedUntil <= now)
            leave(current, LeaveReason::EntryRemoved, now);
    }
}

std::vector<const TargetEntry*> TargetDirectory::usable(const std::string& service) const
{
    std::vector<const TargetEntry*> found;
    for (const auto& [id, known] : m_targets) {
        if (known.entry.service == service && known.entry.state == TargetState::Ready)
            found.push_back(&known.entry);
    }
    return found;
}

const TargetEntry* TargetDirectory::find(const std::string& id) const
{
    auto known = m_targets.find(id);
    return known == m_targets.end() ? nullptr : &known->second.entry;
}

bool TargetDirectory::isUsable(const std::string& id) const
{
    const auto* entry = find(id);
    return entry && entry->state == TargetState::Ready;
}

void TargetDirectory::leave(std::map<std::string, Known>::iterator known, LeaveReason reason, TimePoint now)
{
    auto entry = std::move(known->second.entry);
    bool wasReady = entry.state == TargetState::Ready;
    m_targets.erase(known);
    if (wasReady && m_listener)
        m_listener({ .entry = std::move(entry), .reason = reason, .at = now });
}

bool TargetDirectory::removalMayBeLapse(TimePoint now) const
{
    return !m_storeReachable || (m_regainedAt && now < *m_regainedAt + rewriteTime);
}

}
