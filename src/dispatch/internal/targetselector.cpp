#include "dispatch/targetselector.h"

#include "dispatch/relativepaces.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// A plain target in warm-up counts as half loaded.
    constexpr double warmUpMs = fullLoadMs / 2;
    /// Limit of prompt tokens that may be pending on an engine. Beside running generations an engine processes
    /// about 7 per ms, so the last of them produces its first event after about a second.
    constexpr double maxPendingPromptTokens = 7000;
    /// Weight of a plain target's failure rate: one that fails half its requests scores like two full ones.
    constexpr double failureMs = 4 * fullLoadMs;
    /// Random spread of scores, so that instances do not all choose the same target among equal ones.
    constexpr double tieBreakMs = 0.01 * fullLoadMs;
    /// Added to the score of a suspect, so much that it is chosen only if no other target is available.
    constexpr double suspectMs = 100 * fullLoadMs;
    /// Added to the score of an engine that misses the objective for the time between events with a single request, so that it is chosen
    /// when all others are full, and before suspects.
    constexpr double missedGapMs = 20 * fullLoadMs;

    double slotScore(const TargetEntry& target, const TargetLoad& load)
    {
        return fullLoadMs * load.requests / std::max(1, target.slots);
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

    /// Leaves suspects out if there are others.
    TargetChoice betterOfTwo(std::vector<TargetChoice> choices, Random& random)
    {
        constexpr std::size_t compared = 2;
        std::shuffle(choices.begin(), choices.end(), random);
        std::stable_partition(choices.begin(), choices.end(), [](const TargetChoice& choice) { return choice.score < suspectMs; });
        auto end = choices.begin() + static_cast<std::ptrdiff_t>(std::min(compared, choices.size()));
        return *std::min_element(choices.begin(), end, [](const TargetChoice& left, const TargetChoice& right) { return left.score < right.score; });
    }

}

namespace {

    ScoreInputs scoreInputs(const SelectionInputs& inputs, const Candidate& candidate, const TargetLoad& load, const RelativePaces& paces)
    {
        const auto& target = *candidate.target;
        double otherDomainMs = target.failureDomain == inputs.preferredDomain ? 0 : inputs.otherDomainMs;
        return { .engine = *inputs.engine, .load = load, .estimate = inputs.estimate, .relativePace = paces.of(target), .usualEventMs = paces.usualMs(), .otherDomainMs = otherDomainMs, .inWarmUp = target.warmUpRemaining.count() > 0, .failureRate = inputs.outcomes.failureRate(candidate.address, inputs.now), .cachedTokens = inputs.keptPrompts ? inputs.keptPrompts->cachedTokens(target, inputs.promptParts, inputs.now) : 0 };
    }

    double unavailableTokens(const SelectionInputs& inputs, const std::string& target)
    {
        const auto& admission = inputs.admission;
        double reserved = admission.rule.leavesReserve ? admission.reservedTokens : 0;
        return reserved + (admission.reserve ? admission.reserve->missingTokens(target, inputs.now) : 0);
    }

    /// Returns nothing if the engine has no capacity.
    std::optional<TargetChoice> assessEngine(const SelectionInputs& inputs, const Candidate& candidate, const RelativePaces& paces)
    {
        auto load = inputs.ledger.totalLoad(candidate.target->id);
        if (!hasCapacity(*inputs.engine, load, inputs.estimate, inputs.admission.rule, unavailableTokens(inputs, candidate.target->id)))
            return std::nullopt;
        auto score = scoreInputs(inputs, candidate, load, paces);
        auto gap = forecastGap(score, inputs.eventGapObjective);
        if (gap == GapForecast::Crowded)
            return std::nullopt;
        auto time = expectedTime(score);
        return TargetChoice { .target = candidate.target->id, .score = time.scoreMs + (gap == GapForecast::Missed ? missedGapMs : 0), .requests = load.requests, .tokens = load.tokens, .time = time };
    }

    TargetChoice assessPlainTarget(const SelectionInputs& inputs, const Candidate& candidate, const RelativePaces& paces)
    {
        const auto& target = *candidate.target;
        auto load = inputs.ledger.totalLoad(target.id);
        double score = paces.of(target) * slotScore(target, load) + failureMs * inputs.outcomes.failureRate(candidate.address, inputs.now);
        if (target.failureDomain != inputs.preferredDomain)
            score += inputs.otherDomainMs;
        if (target.warmUpRemaining.count() > 0)
            score += warmUpMs;
        return { .target = target.id, .score = score, .requests = load.requests, .tokens = load.tokens };
    }

}

std::optional<TargetChoice> selectTarget(const SelectionInputs& inputs, Random& random)
{
    auto candidates = makeCandidates(inputs);
    bool suspectsExcluded = excludesSuspects(inputs, candidates);
    RelativePaces paces(inputs.paces, inputs.engine ? PaceKind::Events : PaceKind::PlainAnswers, inputs.candidates);
    std::vector<TargetChoice> choices;
    std::uniform_real_distribution<double> tieBreak(0, tieBreakMs);
    for (const auto& candidate : candidates) {
        if (inputs.excluded.count(candidate.target->id) > 0)
            continue;
        bool probe = suspectsExcluded && candidate.suspect;
        if (probe && !(inputs.allowsProbes && inputs.outcomes.mayProbe(candidate.address, inputs.now)))
            continue;
        auto choice = inputs.engine ? assessEngine(inputs, candidate, paces) : assessPlainTarget(inputs, candidate, paces);
        if (!choice)
            continue;
        choice->isProbe = probe;
        choice->score += tieBreak(random) + (candidate.suspect ? suspectMs : 0);
        choices.push_back(std::move(*choice));
    }
    if (choices.empty())
        return std::nullopt;
    if (inputs.loadsAreShared)
        return betterOfTwo(std::move(choices), random);
    return *std::min_element(choices.begin(), choices.end(), [](const TargetChoice& left, const TargetChoice& right) { return left.score < right.score; });
}

}
