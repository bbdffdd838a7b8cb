#include "dispatch/expectedtime.h"

#include "dispatch/targetpace.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Beside running generations an engine processes about 8 prompt tokens per ms, so 8000 pending ones weigh as much as a full memory.
    constexpr double promptTokensPerMs = 8;
    /// Speed of prompts without the steps between their chunks, which other requests need anyway.
    constexpr double cachedTokensPerMs = 14;
    /// An engine in warm-up counts as half loaded.
    constexpr double warmUpMs = fullLoadMs / 2;
    /// An engine that fails half its requests scores like two full ones.
    constexpr double failureMs = 4 * fullLoadMs;
    /// Bounds what an engine's own pace adds to its score. Long generations take seconds longer at a slow engine, but if they filled the
    /// fast ones to the last token, wrong length estimates would preempt generations there; at this value an empty slow engine is taken
    /// when the others are more than half full.
    constexpr double maxOwnPaceMs = 0.6 * fullLoadMs;

    /// Engines below are served by the limits of all.
    constexpr double clearlySlower = 1.4;
    /// Share of the objective that is planned with; the rest covers the round trip and uneven steps.
    constexpr double plannedGapShare = 0.8;
    /// Prompt tokens that count as one prompt, because loads tell only the sum of the pending ones.
    constexpr double tokensPerPrompt = 1500;

}

ExpectedTime expectedTime(const ScoreInputs& inputs)
{
    double memoryMs = fullLoadMs * (inputs.load.tokens + inputs.estimate.totalTokens()) / std::max(1, inputs.engine.memoryTokens);
    double pendingMs = inputs.load.pendingPromptTokens / promptTokensPerMs;
    double fixedMs = inputs.otherDomainMs + (inputs.inWarmUp ? warmUpMs : 0) + failureMs * inputs.failureRate;
    double savedMs = inputs.relativePace * std::min(inputs.cachedTokens, inputs.estimate.promptTokens) / cachedTokensPerMs;
    double promptMs = inputs.estimate.promptTokens / promptTokensPerMs;
    double streamMs = inputs.usualEventMs * inputs.estimate.outputTokens / std::max(1, inputs.engine.tokensPerEvent);
    double ownPaceMs = (inputs.relativePace - 1) * (promptMs + streamMs);
    ExpectedTime time;
    time.toFirstEventMs = fixedMs + inputs.relativePace * (pendingMs + promptMs) - savedMs;
    time.toEndMs = time.toFirstEventMs + inputs.relativePace * (memoryMs + streamMs);
    time.scoreMs = fixedMs + inputs.relativePace * (memoryMs + pendingMs) + std::clamp(ownPaceMs, -maxOwnPaceMs, maxOwnPaceMs) - savedMs;
    return time;
}

GapForecast forecastGap(const ScoreInputs& inputs, Milliseconds objective)
{
    if (objective <= Milliseconds(0) || inputs.usualEventMs <= 0 || inputs.relativePace < clearlySlower)
        return GapForecast::Kept;
    double eventMs = inputs.relativePace * inputs.usualEventMs;
    double planned = plannedGapShare * static_cast<double>(objective.count());
    if (eventMs > planned)
        return GapForecast::Missed;
    if (inputs.load.requests == 0)
        return GapForecast::Kept;
    double pendingPrompts = inputs.load.pendingPromptTokens > 0 ? std::max(1.0, inputs.load.pendingPromptTokens / tokensPerPrompt) : 0;
    double prompts = pendingPrompts + (inputs.estimate.promptTokens > 0 ? 1 : 0);
    bool kept = TargetPace::eventGap(eventMs, inputs.load.requests + 1, prompts) <= planned;
    return kept ? GapForecast::Kept : GapForecast::Crowded;
}

}
