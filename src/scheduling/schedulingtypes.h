#pragma once

#include "common/error.h"
#include "common/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace guavaspan {

/// Identifies a permit request across all instances.
struct PermitId {
    std::uint64_t instance = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const PermitId&, const PermitId&) = default;
};

/// Latency class of a service.
enum class ServiceClass {
    Interactive,
    Batch,
};

/// A request for a permit to run one generation.
struct PermitRequest {
    PermitId id;
    std::string organisation;
    std::string service;
    double weight = 1;
    ServiceClass serviceClass = ServiceClass::Batch;
    int promptTokens = 0;
    int maxTokens = 0;
    std::vector<std::uint64_t> prefixBlocks;
    Clock::duration maxWait = Seconds(30);
    std::string failureDomain;
    std::vector<std::string> excludedEngines;
};

/// Why an engine was chosen.
enum class GrantReason {
    PrefixCached,
    LeastLoaded,
    Probe,
};

/// Permission to start one generation on one engine.
struct Grant {
    PermitId id;
    std::string engine;
    int priority = 0;
    GrantReason reason = GrantReason::LeastLoaded;
    double overflowRisk = 0;
    int expectedCachedTokens = 0;
};

/// Rejection of a permit request.
struct Refusal {
    PermitId id;
    ErrorCode code = ErrorCode::Overloaded;
    Clock::duration retryAfter {};
};

/// Requests that the permit holder change the priority of its generation.
struct SetPriority {
    PermitId id;
    int priority = 0;
};

using SchedulingAction = std::variant<Grant, Refusal, SetPriority>;

/// How a permitted generation ended.
enum class GenerationOutcome {
    Completed,
    Cancelled,
    EngineFailed,
    NotStarted,
};

/// Attributes of an engine from the configuration and the instance list.
struct EngineInfo {
    std::string name;
    std::string failureDomain;
    bool accepting = true;
    bool honoursPriorities = true;

    friend bool operator==(const EngineInfo&, const EngineInfo&) = default;
};

/// Load that an engine reported, as of measuredAt.
struct LoadReport {
    TimePoint measuredAt;
    int tokensCapacity = 0;
    int tokensUsed = 0;
    int running = 0;
    int waiting = 0;
    double stepSeconds = 0;
};

std::string_view toString(GrantReason);

}

template <>
struct std::hash<guavaspan::PermitId> {
    std::size_t operator()(const guavaspan::PermitId& id) const noexcept
    {
        return id.instance * 0x9e3779b97f4a7c15ULL ^ id.sequence;
    }
};
