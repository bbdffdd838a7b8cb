#include "dispatch/outputestimator.h"

#include <algorithm>
#include <cmath>

namespace guavaspan {

namespace {

    /// Weight of a caller's guess against the route's history. Guesses vary about
    /// one and a half times as much as lengths do, in logarithms.
    constexpr double guessWeight = 0.33;
    /// Mean over median of lengths around the estimate, for a log-normal spread of 0.65.
    constexpr double meanOverMedian = 1.25;
    /// Share of the bound assumed while nothing is known.
    constexpr double unknownShareOfBound = 0.5;
    /// Generations that the history remembers.
    constexpr double memoryWeight = 200;
    /// Generations after which the history counts.
    constexpr double enoughWeight = 5;

}

void OutputEstimator::observe(const std::string& route, int outputTokens)
{
    auto& record = m_routes[route];
    record.weight = std::min(memoryWeight, record.weight + 1);
    record.meanLog += (std::log(std::max(1, outputTokens)) - record.meanLog) / record.weight;
}

int OutputEstimator::expect(const std::string& route, std::optional<int> guess, int maxOutputTokens) const
{
    double bound = std::max(1, maxOutputTokens);
    auto found = m_routes.find(route);
    bool known = found != m_routes.end() && found->second.weight >= enoughWeight;
    double history = known ? found->second.meanLog : std::log(bound * unknownShareOfBound);
    double estimate = history;
    if (guess && *guess > 0)
        estimate = guessWeight * std::log(*guess) + (1 - guessWeight) * history;
    return static_cast<int>(std::clamp(std::exp(estimate) * meanOverMedian, 1.0, bound));
}

}
