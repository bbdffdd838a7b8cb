#pragma once

#include "common/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace guavaspan {

/// One request or stream that this instance has at a target or waiting for one.
using WorkId = std::uint64_t;

/// What a request will take of a target.
struct WorkEstimate {
    int promptTokens = 0;
    /// Tokens whose memory comes from another engine and that are not read again.
    int copiedTokens = 0;
    /// Tokens that the whole answer is expected to have; 0 for plain requests.
    int outputTokens = 0;

    int totalTokens() const { return promptTokens + copiedTokens + outputTokens; }

    /// Gives its memory back within about a second.
    bool isShort() const { return outputTokens <= maxShortOutputTokens; }

    static constexpr int maxShortOutputTokens = 64;

    friend bool operator==(const WorkEstimate&, const WorkEstimate&) = default;
};

/// Urgency, and within it whether an answer can still be in time; lower goes first.
struct Rank {
    int priority = 0;
    bool late = false;

    friend auto operator<=>(const Rank&, const Rank&) = default;
};

/// Work at one target, as one instance or several know it.
struct TargetLoad {
    int requests = 0;
    /// Memory that running generations hold or are expected to grow to.
    double tokens = 0;
    /// Prompt tokens of generations that have not shown their first event.
    double pendingPromptTokens = 0;

    TargetLoad& operator+=(const TargetLoad& other)
    {
        requests += other.requests;
        tokens += other.tokens;
        pendingPromptTokens += other.pendingPromptTokens;
        return *this;
    }

    TargetLoad& operator-=(const TargetLoad& other)
    {
        requests -= other.requests;
        tokens -= other.tokens;
        pendingPromptTokens -= other.pendingPromptTokens;
        return *this;
    }

    friend bool operator==(const TargetLoad&, const TargetLoad&) = default;
};

using TargetLoads = std::map<std::string, TargetLoad>;

}
