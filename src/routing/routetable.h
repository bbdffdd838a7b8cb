#pragma once

#include "routing/routingtypes.h"

#include <string_view>
#include <unordered_map>

namespace guavaspan {

/// The organisation that a key belongs to.
struct OrganisationMatch {
    std::string name;
    std::optional<int> priority;
};

/// Immutable lookup tables for the routes, services and organisations of one configuration.
class RouteTable {
public:
    explicit RouteTable(RoutingConfiguration);

    std::int64_t version() const { return m_configuration.version; }
    const CallerLimits& limits() const { return m_configuration.limits; }
    const std::vector<ServiceInfo>& services() const { return m_configuration.services; }
    bool requiresKeys() const { return m_configuration.requiresKeys; }

    /// Returns the route of the host with the longest prefix of the path, or null.
    const Route* match(std::string_view host, std::string_view path) const;

    const OrganisationMatch* organisationForKey(const std::string& key) const;
    const ServiceInfo* service(const std::string& name) const;

private:
    RoutingConfiguration m_configuration;
    /// Indices of routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost;
    std::unordered_map<std::string, OrganisationMatch> m_organisationsByKey;
};

/// Selects a service by weight with a random number in [0, 1).
const std::string& pickService(const Route&, double randomFraction);

}
