#include "dispatch/targetselector.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// A target in warm-up counts as half used.
    constexpr double warmUpPenalty = 0.5;
    /// Prompt tokens ahead that weigh as much as a full memory: about a second of reading.
    constexpr double promptTokensAsFull = 8000;
    /// Prompt tokens that may wait at an engine. Beside running generations it reads about 7 a ms
    /// (measured), so the last of them shows its first event after about a second.
    constexpr double mostUnreadPromptTokens = 7000;
    /// Weight of the failing share in the score; a target that fails half its requests is as bad as two full ones.
    constexpr double failureWeight = 4;
    /// Keeps equal scores from falling to the same target at all instances.
    constexpr double tieBreakSpread = 0.01;
    /// Score from which a target is used only where no other is left.
    constexpr double lastResortPenalty = 100;

    double engineScore(const EngineTraits& engine, const TargetLoad& load, const WorkEstimate& estimate)
    {
        double memory = (load.tokens + estimate.totalTokens()) / std::max(1, engine.memoryTokens);
        return memory + load.unreadPromptTokens / promptTokensAsFull;
    }

    double plainScore(const TargetEntry& target, const TargetLoad& load)
    {
        return static_cast<double>(load.requests) / std::max(1, target.slots);
    }

}

bool hasRoom(const EngineTraits& engine, const TargetLoad& load, const WorkEstimate& estimate, double memoryShare)
{
    // A generation larger than the planned share may still run alone.
    if (load.requests == 0)
        return true;
    if (load.unreadPromptTokens > 0 && load.unreadPromptTokens + estimate.promptTokens > mostUnreadPromptTokens)
        return false;
    return load.requests < engine.slots && load.tokens + estimate.totalTokens() <= memoryShare * engine.memoryTokens;
}

std::optional<TargetChoice> selectTarget(const SelectionInputs& inputs, Random& random)
{
    std::optional<TargetChoice> best;
    std::uniform_real_distribution<double> tieBreak(0, tieBreakSpread);
    for (const auto* target : inputs.candidates) {
        if (inputs.excluded.count(target->id) > 0)
            continue;
        auto load = inputs.ledger.total(target->id);
        if (inputs.engine && !hasRoom(*inputs.engine, load, inputs.estimate, inputs.memoryShare))
            continue;
        double score = inputs.engine ? engineScore(*inputs.engine, load, inputs.estimate) : plainScore(*target, load);
        if (target->failureDomain != inputs.ownDomain)
            score += inputs.otherDomainPenalty;
        if (target->warmUpRemaining.count() > 0)
            score += warmUpPenalty;
        score += failureWeight * inputs.outcomes.failureShare(target->id, inputs.now);
        if (inputs.outcomes.isSuspect(target->id, inputs.now))
            score += lastResortPenalty;
        score += tieBreak(random);
        if (!best || score < best->score)
            best = TargetChoice { .target = target->id, .score = score, .requests = load.requests, .tokens = load.tokens };
    }
    return best;
}

}
