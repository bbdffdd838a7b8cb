#pragma once

#include "common/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavaspan {

/// What may be done again with a request of a route.
enum class RetrySafety {
    Idempotent,
    NonIdempotent,
    /// Events of one generation; never started twice.
    Stream,
};

/// Part of a route's traffic that goes to one service.
struct ServiceShare {
    std::string service;
    int weight = 1;

    friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

/// Where requests of one host and path prefix go, and how they may be treated.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    RetrySafety retrySafety = RetrySafety::NonIdempotent;
    /// Longest time that a caller is kept waiting.
    Milliseconds timeout { 0 };
    /// Time to the answer, or to a stream's first event, that counts as in time.
    Milliseconds latencyObjective { 0 };
    /// Longest pause between events that counts as in time.
    Milliseconds eventGapObjective { 0 };
    /// 0 is the most urgent.
    int priority = 0;
    /// Targets that may run one request.
    int maxTargets = 1;
    /// Callers need no key.
    bool keyless = false;
    std::vector<ServiceShare> services;

    friend bool operator==(const Route&, const Route&) = default;
};

/// What the targets of a generating service have in common.
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

/// Bounds on what callers may send.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 << 10;
    std::uint64_t maxBodyBytes = 4 << 20;
    Milliseconds headerTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };

    friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// One accepted configuration of routes, whole.
struct RoutingConfiguration {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceInfo> services;
    std::vector<OrganisationKeys> organisations;
    CallerLimits limits;

    friend bool operator==(const RoutingConfiguration&, const RoutingConfiguration&) = default;
};

}
