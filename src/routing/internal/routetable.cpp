#include "routing/routetable.h"

#include <algorithm>
#include <numeric>

namespace guavaspan {

namespace {

    std::string canonicalHost(std::string_view host)
    {
        auto colon = host.rfind(':');
        bool hasPort = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
        std::string name(hasPort ? host.substr(0, colon) : host);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        return name;
    }

}

RouteTable::RouteTable(RoutingConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    const auto& routes = m_configuration.routes;
    for (std::size_t index = 0; index < routes.size(); ++index)
        m_routesByHost[canonicalHost(routes[index].host)].push_back(index);
    for (auto& [host, indices] : m_routesByHost)
        std::stable_sort(indices.begin(), indices.end(), [&](std::size_t left, std::size_t right) { return routes[left].pathPrefix.size() > routes[right].pathPrefix.size(); });
    for (const auto& organisation : m_configuration.organisations) {
        for (const auto& key : organisation.keys)
            m_organisationsByKey.insert_or_assign(key, OrganisationMatch { .name = organisation.name, .priority = organisation.priority });
    }
}

const Route* RouteTable::match(std::string_view host, std::string_view path) const
{
    auto found = m_routesByHost.find(canonicalHost(host));
    if (found == m_routesByHost.end())
        return nullptr;
    for (auto index : found->second) {
        const auto& route = m_configuration.routes[index];
        if (path.starts_with(route.pathPrefix))
            return &route;
    }
    return nullptr;
}

const OrganisationMatch* RouteTable::organisationForKey(const std::string& key) const
{
    auto found = m_organisationsByKey.find(key);
    return found == m_organisationsByKey.end() ? nullptr : &found->second;
}

const ServiceInfo* RouteTable::service(const std::string& name) const
{
    auto found = std::find_if(m_configuration.services.begin(), m_configuration.services.end(), [&](const ServiceInfo& each) { return each.name == name; });
    return found == m_configuration.services.end() ? nullptr : &*found;
}

const std::string& pickService(const Route& route, double draw)
{
    static const std::string none;
    if (route.services.empty())
        return none;
    int total = std::accumulate(route.services.begin(), route.services.end(), 0, [](int sum, const ServiceShare& share) { return sum + share.weight; });
    double mark = draw * total;
    for (const auto& share : route.services) {
        mark -= share.weight;
        if (mark < 0)
            return share.service;
    }
    return route.services.back().service;
}

}
