#include "dispatch/targetselector.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// A target in warm-up counts as half used.
    constexpr double warmUpPenalty = 0.5;
    /// Prompt tokens ahead that weigh as much as a full memory: about a second of reading.
    constexpr double promptTokensPerFullMemory = 8000;
    /// Prompt tokens that may wait at an engine. Beside running generations it reads about 7 a ms
    /// (measured), so the last of them shows its first event after about a second.
    constexpr double maxPendingPromptTokens = 7000;
    /// Weight of the failing share in the score; a target that fails half its requests is as bad as two full ones.
    constexpr double failureWeight = 4;
    /// Keeps equal scores from falling to the same target at all instances.
    constexpr double tieBreakSpread = 0.01;
    /// Score from which a target is used only where no other is left.
    constexpr double suspectPenalty = 100;

    double engineScore(const EngineTraits& engine, const TargetLoad& load, const WorkEstimate& estimate)
    {
        double memory = (load.tokens + estimate.totalTokens()) / std::max(1, engine.memoryTokens);
        return memory + load.pendingPromptTokens / promptTokensPerFullMemory;
    }

    double slotScore(const TargetEntry& target, const TargetLoad& load)
    {
        return static_cast<double>(load.requests) / std::max(1, target.slots);
    }

    struct Candidate {
        const TargetEntry* target = nullptr;
        std::string address;
        bool suspect = false;
    };

    std::vector<Candidate> makeCandidates(const SelectionInputs& inputs)
    {
        std::vector<Candidate> candidates;
        candidates.reserve(inputs.candidates.size());
        for (const auto* target : inputs.candidates) {
            auto address = toString(target->endpoint);
            bool suspect = inputs.outcomes.isSuspect(address, inputs.now);
            candidates.push_back({ .target = target, .address = std::move(address), .suspect = suspect });
        }
        return candidates;
    }

    /// An engine that fails everything is always empty, so with the others full it would draw all new
    /// generations. Where most engines are suspects, the fault is elsewhere and nothing is gained by waiting.
    bool excludesSuspects(const SelectionInputs& inputs, const std::vector<Candidate>& candidates)
    {
        auto suspects = std::count_if(candidates.begin(), candidates.end(), [](const Candidate& candidate) { return candidate.suspect; });
        return inputs.engine && 2 * suspects <= static_cast<std::ptrdiff_t>(candidates.size());
    }

}

bool hasCapacity(const EngineTraits& engine, const TargetLoad& load, const WorkEstimate& estimate, double memoryShare)
{
    // A generation larger than the planned share may still run alone.
    if (load.requests == 0)
        return true;
    bool hasPrompt = estimate.promptTokens > 0;
    if (hasPrompt && load.pendingPromptTokens > 0 && load.pendingPromptTokens + estimate.promptTokens > maxPendingPromptTokens)
        return false;
    return load.requests < engine.slots && load.tokens + estimate.totalTokens() <= memoryShare * engine.memoryTokens;
}

std::optional<TargetChoice> selectTarget(const SelectionInputs& inputs, Random& random)
{
    auto candidates = makeCandidates(inputs);
    bool suspectsExcluded = excludesSuspects(inputs, candidates);
    std::optional<TargetChoice> best;
    std::uniform_real_distribution<double> tieBreak(0, tieBreakSpread);
    for (const auto& [target, address, suspect] : candidates) {
        if (inputs.excluded.count(target->id) > 0)
            continue;
        bool isProbe = suspectsExcluded && suspect;
        if (isProbe && !(inputs.allowsProbes && inputs.outcomes.mayProbe(address, inputs.now)))
            continue;
        auto load = inputs.ledger.totalLoad(target->id);
        if (inputs.engine && !hasCapacity(*inputs.engine, load, inputs.estimate, inputs.memoryShare))
            continue;
        double score = inputs.engine ? engineScore(*inputs.engine, load, inputs.estimate) : slotScore(*target, load);
        if (target->failureDomain != inputs.preferredDomain)
            score += inputs.otherDomainPenalty;
        if (target->warmUpRemaining.count() > 0)
            score += warmUpPenalty;
        score += failureWeight * inputs.outcomes.failureRate(address, inputs.now);
        if (suspect)
            score += suspectPenalty;
        score += tieBreak(random);
        if (!best || score < best->score)
            best = TargetChoice { .target = target->id, .isProbe = isProbe, .score = score, .requests = load.requests, .tokens = load.tokens };
    }
    return best;
}

}
