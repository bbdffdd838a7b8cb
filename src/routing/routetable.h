#pragma once

#include "routing/routingtypes.h"

#include <string_view>
#include <unordered_map>

namespace guavaspan {

/// An organisation found by one of its keys.
struct OrganisationMatch {
    std::string name;
    std::optional<int> priority;
};

/// Finds routes, services and organisations of one configuration. Immutable.
class RouteTable {
public:
    explicit RouteTable(RoutingConfiguration);

    std::int64_t version() const { return m_configuration.version; }
    const CallerLimits& limits() const { return m_configuration.limits; }
    const std::vector<ServiceInfo>& services() const { return m_configuration.services; }
    bool requiresKeys() const { return !m_configuration.organisations.empty(); }

    /// The route of this host whose prefix is the longest one that begins the path.
    const Route* match(std::string_view host, std::string_view path) const;

    const OrganisationMatch* organisationForKey(const std::string& key) const;
    const ServiceInfo* service(const std::string& name) const;

private:
    RoutingConfiguration m_configuration;
    /// Indices of routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost;
    std::unordered_map<std::string, OrganisationMatch> m_organisationsByKey;
};

/// The service that takes a request, drawn by weight from a number in [0, 1).
const std::string& pickService(const Route&, double draw);

}
