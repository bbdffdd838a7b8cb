#pragma once

#include "common/time.h"
#include "targets/targettypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavaspan {

/// A part of a prompt that other requests share, identified together with all parts before it.
struct LeadingPart {
    std::uint32_t chain = 0;
    int tokens = 0;

    friend bool operator==(const LeadingPart&, const LeadingPart&) = default;
};

/// Chains the ids of a prompt's parts in their order.
std::vector<LeadingPart> leadingParts(const std::vector<std::uint64_t>& ids, const std::vector<int>& tokens);

/// Estimates which leading parts of prompts the targets still cache, from what this instance placed there.
class KeptPrompts {
public:
    /// A request was placed on a target. Its whole prompt and output take up memory there.
    void onPlaced(const TargetEntry&, const std::vector<LeadingPart>&, int totalTokens, int memoryTokens, TimePoint now);

    /// Tokens of the leading parts that the target probably need not process again.
    int cachedTokens(const TargetEntry&, const std::vector<LeadingPart>&, TimePoint now) const;

    /// Forgets targets that got no requests for a long time.
    void onTick(TimePoint now);

private:
    struct Use {
        /// Tokens placed on the target up to this use.
        std::int64_t placedTokens = 0;
        TimePoint at;
    };
    struct Kept {
        std::int64_t startedAt = 0;
        std::int64_t placedTokens = 0;
        std::int64_t keptTokens = 0;
        TimePoint placedAt;
        std::unordered_map<std::uint32_t, Use> uses;
    };

    static bool isKept(const Kept&, const Use&, TimePoint now);

    std::map<std::string, Kept> m_targets;
};

}
