#pragma once

#include "common/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavaspan {

/// Whether requests of a route may be retried.
enum class RetrySafety {
    Idempotent,
    NonIdempotent,
    /// Streams the events of one generation, which is never started twice.
    Stream,
};

/// Share of a route's traffic that goes to one service.
struct ServiceShare {
    std::string service;
    int weight = 1;

    friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

/// Destination and handling of requests with a given host and path prefix.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    RetrySafety retrySafety = RetrySafety::NonIdempotent;
    /// Time after which a request fails with a timeout.
    Milliseconds timeout { 0 };
    /// Latency objective for the reply, or for a stream's first event.
    Milliseconds latencyObjective { 0 };
    /// Objective for the longest gap between events of a stream.
    Milliseconds eventGapObjective { 0 };
    /// 0 is the most urgent.
    int priority = 0;
    /// Largest number of targets that may run one request.
    int maxTargets = 1;
    /// Callers need no API key.
    bool keyless = false;
    std::vector<ServiceShare> services;

    friend bool operator==(const Route&, const Route&) = default;
};

/// Properties shared by all engines of a generating service.
struct EngineTraits {
    int slots = 0;
    int memoryTokens = 0;
    std::int64_t bytesPerToken = 0;
    double linkMegabitsPerSecond = 0;
    int tokensPerEvent = 1;
    /// Running generations can be moved to another engine.
    bool canMove = false;

    friend bool operator==(const EngineTraits&, const EngineTraits&) = default;
};

struct ServiceInfo {
    std::string name;
    int maxConnections = 0;
    /// Requests per second that a cold target tolerates; 0 if it tolerates any number.
    double coldRequestsPerSecond = 0;
    /// Time for which a target is cold after its start.
    Milliseconds coldStart { 0 };
    /// Absent for services that do not generate.
    std::optional<EngineTraits> engine;

    friend bool operator==(const ServiceInfo&, const ServiceInfo&) = default;
};

struct OrganisationKeys {
    std::string name;
    std::vector<std::string> keys;
    /// Replaces the priority of the route.
    std::optional<int> priority;

    friend bool operator==(const OrganisationKeys&, const OrganisationKeys&) = default;
};

/// Size and time limits of callers' connections.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 << 10;
    std::uint64_t maxBodyBytes = 4 << 20;
    Milliseconds headerTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };

    friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// A complete, accepted routing configuration.
struct RoutingConfiguration {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceInfo> services;
    /// Requests need the key of an organisation, except on keyless routes. No key is valid if there are no organisations.
    bool requiresKeys = false;
    std::vector<OrganisationKeys> organisations;
    CallerLimits limits;

    friend bool operator==(const RoutingConfiguration&, const RoutingConfiguration&) = default;
};

}
