#pragma once

#include "dispatch/dispatchtypes.h"
#include "routing/routingtypes.h"

namespace guavaspan {

/// What the expected time of a generation at an engine depends on.
struct ScoreInputs {
    const EngineTraits& engine;
    TargetLoad load;
    WorkEstimate estimate;
    /// How many times slower than usual the engine is.
    double relativePace = 1;
    /// Milliseconds per event at an engine of the usual pace; 0 if not known.
    double usualEventMs = 0;
    /// Time that the way to another failure domain costs.
    double otherDomainMs = 0;
    bool inWarmUp = false;
    double failureRate = 0;
    /// Tokens of the prompt that the engine probably caches.
    int cachedTokens = 0;
};

struct ExpectedTime {
    double toFirstEventMs = 0;
    double toEndMs = 0;
    /// By which engines are compared: the time that differs between them. The engine's own pace counts up to a bound.
    double scoreMs = 0;

    friend bool operator==(const ExpectedTime&, const ExpectedTime&) = default;
};

/// Milliseconds that stand for a full memory, or for all slots of a plain target.
inline constexpr double fullLoadMs = 1000;

/// Expected time of a generation at an engine.
ExpectedTime expectedTime(const ScoreInputs&);

/// Whether an engine keeps the objective for the time between events with one more request.
enum class GapForecast {
    Kept,
    /// It has to finish some of its requests or prompts before.
    Crowded,
    /// It misses the objective with a single request.
    Missed,
};

/// Engines near the usual pace are not limited.
GapForecast forecastGap(const ScoreInputs&, Milliseconds objective);

}
