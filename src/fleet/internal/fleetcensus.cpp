#include "fleet/fleetcensus.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// An older view may lack an instance that already spends its share.
    constexpr auto maxViewAge = Milliseconds(3000);
    /// Longest time from a change of the registrations until no instance spends by an older view: its age, the
    /// interval between views, and the time to read and pass one on.
    constexpr auto settleTime = Milliseconds(5000);
    /// Views this far apart are normal. An instance cannot register, settle and spend a share in between.
    constexpr auto maxViewDistance = Milliseconds(3500);

}

FleetCensus::FleetCensus(std::string self, Milliseconds budgetWindow)
    : m_self(std::move(self))
    , m_budgetWindow(budgetWindow)
{
}

// A new process does not know what the previous process of its instance spent, and other instances may not count
// it yet. It waits until nothing spent before can lie in the same window. An instance that left may have spent its
// share within the window, so it still counts.
void FleetCensus::onView(const RegistrationView& view, BootTime now)
{
    // Another instance may have registered, spent a share and left between two views this far apart.
    bool gap = m_confirmedAt && view.confirmedAt - *m_confirmedAt > std::max(m_budgetWindow, maxViewDistance);
    m_confirmedAt = view.confirmedAt;
    if (!view.includesSelf || gap)
        m_registeredSince.reset();
    if (view.includesSelf && !m_registeredSince)
        m_registeredSince = now;
    m_wasCurrent = view.includesSelf && (m_wasCurrent || isCurrent(now));
    m_lastSeen[m_self] = now;
    for (const auto& instance : view.instances)
        m_lastSeen[instance] = now;
    std::erase_if(m_lastSeen, [&](const auto& entry) { return now - entry.second > m_budgetWindow + 2 * settleTime; });
}

bool FleetCensus::isCurrent(BootTime now) const
{
    return m_registeredSince && now - *m_confirmedAt <= maxViewAge && now - *m_registeredSince >= m_budgetWindow + settleTime;
}

std::optional<int> FleetCensus::sharers(BootTime now) const
{
    if (!isCurrent(now))
        return std::nullopt;
    return instancesSeen();
}

CensusState FleetCensus::state(BootTime now) const
{
    if (isCurrent(now))
        return CensusState::Current;
    return m_wasCurrent ? CensusState::Outdated : CensusState::Unknown;
}

std::vector<std::string> FleetCensus::instances() const
{
    std::vector<std::string> names;
    for (const auto& [name, seenAt] : m_lastSeen)
        names.push_back(name);
    return names;
}

}
