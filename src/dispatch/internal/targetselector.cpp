#include "dispatch/targetselector.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// A target in warm-up counts as half loaded.
    constexpr double warmUpPenalty = 0.5;
    /// Pending prompt tokens that weigh as much as a full memory: about a second of prompt processing.
    constexpr double promptTokensPerFullMemory = 8000;
    /// Limit of prompt tokens that may be pending on an engine. Beside running generations an engine processes
    /// about 7 per ms, so the last of them produces its first event after about a second.
    constexpr double maxPendingPromptTokens = 7000;
    /// Weight of the failure rate in the score: a target that fails half its requests scores like two full ones.
    constexpr double failureWeight = 4;
    /// Random spread of scores, so that instances do not all choose the same target among equal ones.
    constexpr double tieBreakSpread = 0.01;
    /// Score penalty of a suspect, so large that it is chosen only if no other target is available.
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

    /// An engine that fails all requests is always empty, so with the others full it would attract all new
    /// generations. If most engines are suspect, the fault is not in the engines and waiting does not help.
    bool excludesSuspects(const SelectionInputs& inputs, const std::vector<Candidate>& candidates)
    {
        auto suspects = std::count_if(candidates.begin(), candidates.end(), [](const Candidate& candidate) { return candidate.suspect; });
        return inputs.engine && 2 * suspects <= static_cast<std::ptrdiff_t>(candidates.size());
    }

}

bool hasCapacity(const EngineTraits& engine, const TargetLoad& load, const WorkEstimate& estimate, const AdmissionRule& rule, double unavailableTokens)
{
    // A generation larger than the planned memory may still run alone.
    if (load.requests == 0)
        return true;
    bool hasPrompt = estimate.promptTokens > 0;
    if (hasPrompt && load.pendingPromptTokens > 0 && load.pendingPromptTokens + estimate.promptTokens > maxPendingPromptTokens)
        return false;
    return load.requests < engine.slots && fitsMemory(load, estimate, engine.memoryTokens - unavailableTokens, rule);
}

namespace {

    double unavailableTokens(const SelectionInputs& inputs, const std::string& target)
    {
        const auto& admission = inputs.admission;
        double reserved = admission.rule.leavesReserve ? admission.reservedTokens : 0;
        return reserved + (admission.reserve ? admission.reserve->missingTokens(target, inputs.now) : 0);
    }

    /// Leaves suspects out if there are others.
    TargetChoice betterOfTwo(std::vector<TargetChoice> choices, Random& random)
    {
        constexpr std::size_t compared = 2;
        std::shuffle(choices.begin(), choices.end(), random);
        std::stable_partition(choices.begin(), choices.end(), [](const TargetChoice& choice) { return choice.score < suspectPenalty; });
        auto end = choices.begin() + static_cast<std::ptrdiff_t>(std::min(compared, choices.size()));
        return *std::min_element(choices.begin(), end, [](const TargetChoice& left, const TargetChoice& right) { return left.score < right.score; });
    }

}

std::optional<TargetChoice> selectTarget(const SelectionInputs& inputs, Random& random)
{
    auto candidates = makeCandidates(inputs);
    bool suspectsExcluded = excludesSuspects(inputs, candidates);
    std::vector<TargetChoice> choices;
    std::uniform_real_distribution<double> tieBreak(0, tieBreakSpread);
    for (const auto& [target, address, suspect] : candidates) {
        if (inputs.excluded.count(target->id) > 0)
            continue;
        bool probe = suspectsExcluded && suspect;
        if (probe && !(inputs.allowsProbes && inputs.outcomes.mayProbe(address, inputs.now)))
            continue;
        auto load = inputs.ledger.totalLoad(target->id);
        if (inputs.engine && !hasCapacity(*inputs.engine, load, inputs.estimate, inputs.admission.rule, unavailableTokens(inputs, target->id)))
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
        choices.push_back({ .target = target->id, .isProbe = probe, .score = score, .requests = load.requests, .tokens = load.tokens });
    }
    if (choices.empty())
        return std::nullopt;
    if (inputs.loadsAreShared)
        return betterOfTwo(std::move(choices), random);
    return *std::min_element(choices.begin(), choices.end(), [](const TargetChoice& left, const TargetChoice& right) { return left.score < right.score; });
}

}
