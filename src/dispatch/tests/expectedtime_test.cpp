#include "dispatch/expectedtime.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

constexpr EngineTraits traits { .slots = 24, .memoryTokens = 20000, .tokensPerEvent = 4 };

ScoreInputs inputsFor(double memoryShare, double relativePace, WorkEstimate estimate)
{
    return { .engine = traits, .load = { .requests = memoryShare > 0 ? 10 : 0, .tokens = memoryShare * traits.memoryTokens }, .estimate = estimate, .relativePace = relativePace, .usualEventMs = 24 };
}

}

Test(ExpectedTime, longGenerationAtSlowEngine_endsLater)
{
    WorkEstimate estimate { .promptTokens = 800, .outputTokens = 800 };
    auto slow = expectedTime(inputsFor(0, 2.4, estimate));
    auto fast = expectedTime(inputsFor(0.5, 1, estimate));
    cr_expect(slow.toEndMs > fast.toEndMs + 5000);
    cr_expect(slow.scoreMs > fast.scoreMs);
}

/// Guards against overloading the fast engines: beside full ones an empty slow engine takes requests.
Test(ExpectedTime, slowEmptyEngineBesideFullOnes_takesRequests)
{
    WorkEstimate longOne { .promptTokens = 800, .outputTokens = 800 };
    WorkEstimate shortOne { .promptTokens = 300, .outputTokens = 12 };
    cr_expect(expectedTime(inputsFor(0, 2.4, longOne)).scoreMs < expectedTime(inputsFor(0.85, 1, longOne)).scoreMs);
    cr_expect(expectedTime(inputsFor(0, 2.4, shortOne)).scoreMs < expectedTime(inputsFor(0.3, 1, shortOne)).scoreMs, "a short one is not much later there");
    cr_expect(expectedTime(inputsFor(0, 2.4, shortOne)).scoreMs > expectedTime(inputsFor(0.05, 1, shortOne)).scoreMs);
}

/// Guards against sending a request into a queue for the sake of a cached part of its prompt.
Test(ExpectedTime, cachedPart_countsBetweenEquallyLoadedEnginesOnly)
{
    WorkEstimate estimate { .promptTokens = 800, .outputTokens = 100 };
    auto cached = inputsFor(0.31, 1, estimate);
    cached.cachedTokens = 350;
    cr_expect(expectedTime(cached).scoreMs < expectedTime(inputsFor(0.3, 1, estimate)).scoreMs);
    cr_expect(expectedTime(cached).scoreMs > expectedTime(inputsFor(0.28, 1, estimate)).scoreMs);
}

/// Guards against pauses over the objective: at 58 ms per event each prompt beside the streams adds 66 ms.
Test(ForecastGap, promptsAtSlowEngine_areProcessedOneAtATime)
{
    auto inputs = inputsFor(0.2, 2.4, { .promptTokens = 500, .outputTokens = 100 });
    cr_expect(forecastGap(inputs, Milliseconds(180)) == GapForecast::Kept);
    inputs.load.pendingPromptTokens = 200;
    cr_expect(forecastGap(inputs, Milliseconds(180)) == GapForecast::Crowded);
    cr_expect(forecastGap(inputs, Milliseconds(0)) == GapForecast::Kept, "without an objective nothing is limited");
    inputs.relativePace = 1.2;
    inputs.load.pendingPromptTokens = 6000;
    cr_expect(forecastGap(inputs, Milliseconds(180)) == GapForecast::Kept, "an engine near the usual pace has the limits of all");
}

Test(ForecastGap, engineThatMissesTheObjectiveAlone_isToldApart)
{
    auto inputs = inputsFor(0, 2.4, { .promptTokens = 500, .outputTokens = 100 });
    cr_expect(forecastGap(inputs, Milliseconds(60)) == GapForecast::Missed);
    cr_expect(forecastGap(inputs, Milliseconds(180)) == GapForecast::Kept, "an empty engine takes one request");
}
