#pragma once

#include "common/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace guavaspan {

/// Identifies a request or stream that runs on a target or waits for one; unique within this instance.
using WorkId = std::uint64_t;

/// Tokens that a request is expected to occupy on a target.
struct WorkEstimate {
    int promptTokens = 0;
    /// Tokens whose attention state is copied from another engine, so that they are not processed again.
    int copiedTokens = 0;
    /// Expected tokens of the whole response; 0 for requests that are not generations.
    int outputTokens = 0;

    int totalTokens() const { return promptTokens + copiedTokens + outputTokens; }

    /// Short requests free their memory within about a second.
    bool isShort() const { return outputTokens <= maxShortOutputTokens; }

    static constexpr int maxShortOutputTokens = 64;

    friend bool operator==(const WorkEstimate&, const WorkEstimate&) = default;
};

/// Order of requests in a queue: by priority, then on-time before late requests. Lower values go first.
struct Rank {
    int priority = 0;
    /// True if the response can no longer be in time.
    bool late = false;

    friend auto operator<=>(const Rank&, const Rank&) = default;
};

/// Load on one target from one or several instances.
struct TargetLoad {
    int requests = 0;
    /// Memory that running generations occupy now or are expected to grow to.
    double tokens = 0;
    /// Prompt tokens of generations that have not produced their first event.
    double pendingPromptTokens = 0;
    /// Memory that running generations occupy now.
    double heldTokens = 0;
    /// Tokens by which running generations are expected to grow, given how far they are.
    double growthTokens = 0;

    TargetLoad& operator+=(const TargetLoad& other)
    {
        requests += other.requests;
        tokens += other.tokens;
        pendingPromptTokens += other.pendingPromptTokens;
        heldTokens += other.heldTokens;
        growthTokens += other.growthTokens;
        return *this;
    }

    TargetLoad& operator-=(const TargetLoad& other)
    {
        requests -= other.requests;
        tokens -= other.tokens;
        pendingPromptTokens -= other.pendingPromptTokens;
        heldTokens -= other.heldTokens;
        growthTokens -= other.growthTokens;
        return *this;
    }

    friend bool operator==(const TargetLoad&, const TargetLoad&) = default;
};

using TargetLoads = std::map<std::string, TargetLoad>;

}
