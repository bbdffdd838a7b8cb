#include "targets/domainevacuations.h"

#include <vector>

namespace guavaspan {

namespace {

    /// An operator writes what the store has lost within about a second. Twice that, and the time until an instance notices the
    /// restoration, is well below the 5 s within which the domain of an evacuation that is not written again has to serve.
    constexpr auto rewriteTimeout = Milliseconds(2000);

}

void DomainEvacuations::onEvacuated(const std::string& domain, TimePoint now)
{
    auto [evacuation, started] = m_evacuations.try_emplace(domain, Evacuation { .since = now });
    evacuation->second.rewriteDeadline.reset();
    if (started)
        announce(domain, true);
}

void DomainEvacuations::onEnded(const std::string& domain, TimePoint now)
{
    auto evacuation = m_evacuations.find(domain);
    if (evacuation == m_evacuations.end())
        return;
    bool mayBeLost = m_storeRestoredAt && now < *m_storeRestoredAt + rewriteTimeout;
    if (mayBeLost)
        evacuation->second.rewriteDeadline = *m_storeRestoredAt + rewriteTimeout;
    else
        end(domain);
}

void DomainEvacuations::onSnapshot(const std::set<std::string>& domains, TimePoint now)
{
    for (const auto& domain : this->domains()) {
        if (!domains.contains(domain))
            onEnded(domain, now);
    }
    for (const auto& domain : domains)
        onEvacuated(domain, now);
}

void DomainEvacuations::onTick(TimePoint now)
{
    std::vector<std::string> overdue;
    for (const auto& [domain, evacuation] : m_evacuations) {
        if (evacuation.rewriteDeadline && *evacuation.rewriteDeadline <= now)
            overdue.push_back(domain);
    }
    for (const auto& domain : overdue)
        end(domain);
}

std::optional<TimePoint> DomainEvacuations::evacuatedSince(const std::string& domain) const
{
    auto evacuation = m_evacuations.find(domain);
    return evacuation == m_evacuations.end() ? std::nullopt : std::optional(evacuation->second.since);
}

std::set<std::string> DomainEvacuations::domains() const
{
    std::set<std::string> domains;
    for (const auto& [domain, evacuation] : m_evacuations)
        domains.insert(domain);
    return domains;
}

void DomainEvacuations::end(const std::string& domain)
{
    m_evacuations.erase(domain);
    announce(domain, false);
}

/// The listener sees the new state.
void DomainEvacuations::announce(const std::string& domain, bool evacuated) const
{
    if (m_listener)
        m_listener({ .domain = domain, .evacuated = evacuated });
}

}
