#include "dispatch/keptprompts.h"

#include "common/hash.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Share of an engine's memory that is left for cached prompts; running generations take the rest.
    constexpr double cachedMemoryShare = 0.5;
    /// Without traffic nothing is evicted, but an engine may drop its cache for reasons of its own.
    constexpr auto maxAge = Seconds(60);
    /// Parts of one prompt; further ones would only make messages longer.
    constexpr std::size_t maxParts = 8;
    /// Parts for each target beyond which those that are no longer kept are removed.
    constexpr std::size_t cleanupSize = 256;

}

std::vector<LeadingPart> leadingParts(const std::vector<std::uint64_t>& ids, const std::vector<int>& tokens)
{
    std::vector<LeadingPart> parts;
    std::uint64_t chain = 0;
    for (std::size_t i = 0; i < std::min({ ids.size(), tokens.size(), maxParts }); ++i) {
        chain = stableHash(hexOf(ids[i]), chain);
        parts.push_back({ .chain = static_cast<std::uint32_t>(chain), .tokens = std::max(0, tokens[i]) });
    }
    return parts;
}

/// The least recently used parts are evicted first, so a part is kept until as many tokens as fit were placed after its last use.
bool KeptPrompts::isKept(const Kept& kept, const Use& use, TimePoint now)
{
    return kept.placedTokens - use.placedTokens <= kept.keptTokens && now - use.at <= maxAge;
}

void KeptPrompts::onPlaced(const TargetEntry& target, const std::vector<LeadingPart>& parts, int totalTokens, int memoryTokens, TimePoint now)
{
    auto& kept = m_targets[target.id];
    if (kept.startedAt != target.startedAt)
        kept = { .startedAt = target.startedAt };
    kept.placedTokens += std::max(0, totalTokens);
    kept.keptTokens = static_cast<std::int64_t>(cachedMemoryShare * memoryTokens);
    kept.placedAt = now;
    for (const auto& part : parts)
        kept.uses.insert_or_assign(part.chain, Use { .placedTokens = kept.placedTokens, .at = now });
    if (kept.uses.size() > cleanupSize)
        std::erase_if(kept.uses, [&](const auto& entry) { return !isKept(kept, entry.second, now); });
}

int KeptPrompts::cachedTokens(const TargetEntry& target, const std::vector<LeadingPart>& parts, TimePoint now) const
{
    auto found = m_targets.find(target.id);
    if (parts.empty() || found == m_targets.end() || found->second.startedAt != target.startedAt)
        return 0;
    int tokens = 0;
    for (const auto& part : parts) {
        auto use = found->second.uses.find(part.chain);
        if (use == found->second.uses.end() || !isKept(found->second, use->second, now))
            break;
        tokens += part.tokens;
    }
    return tokens;
}

void KeptPrompts::onTick(TimePoint now)
{
    std::erase_if(m_targets, [&](const auto& entry) { return now - entry.second.placedAt > maxAge; });
}

}
