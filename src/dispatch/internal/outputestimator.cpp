#include "dispatch/outputestimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace guavaspan {

namespace {

    /// Prior of the regression slope, used while there are few observations. In logarithms, the callers' guesses vary
    /// about one and a half times as much as the output lengths do.
    constexpr double priorSlope = 0.4;
    /// Weight of the prior slope in generations, and the variance of the guesses assumed for them.
    constexpr double priorWeight = 20;
    constexpr double priorGuessVariance = 2;
    /// Ratio of mean to median length around the estimate, for a log-normal spread of 0.65.
    constexpr double meanOverMedian = 1.25;
    /// Share of the caller's bound that is expected while the route has no history.
    constexpr double defaultShareOfBound = 0.5;
    /// Generations of the whole fleet that the sums of a route keep; older ones lose weight beyond it.
    constexpr double maxRememberedGenerations = 2000;
    /// Generations from which the history of a route is used.
    constexpr double minGenerations = 5;

    double logTokens(int tokens)
    {
        return std::log(std::max(1, tokens));
    }

    LengthSums sumsOf(std::optional<int> guess, int outputTokens)
    {
        LengthSums sums { .generationCount = 1, .lengthSum = logTokens(outputTokens) };
        if (!guess)
            return sums;
        sums.guessCount = 1;
        sums.guessSum = logTokens(*guess);
        sums.guessedLengthSum = sums.lengthSum;
        sums.guessSquaredSum = sums.guessSum * sums.guessSum;
        sums.guessLengthProductSum = sums.guessSum * sums.lengthSum;
        return sums;
    }

    double slopeOf(const LengthSums& sums)
    {
        double weight = priorWeight * priorGuessVariance;
        if (sums.guessCount < 1)
            return priorSlope;
        double covariance = sums.guessLengthProductSum - sums.guessSum * sums.guessedLengthSum / sums.guessCount;
        double variance = sums.guessSquaredSum - sums.guessSum * sums.guessSum / sums.guessCount;
        return (covariance + weight * priorSlope) / (variance + weight);
    }

}

LengthSums& LengthSums::operator+=(const LengthSums& other)
{
    generationCount += other.generationCount;
    lengthSum += other.lengthSum;
    guessCount += other.guessCount;
    guessSum += other.guessSum;
    guessedLengthSum += other.guessedLengthSum;
    guessSquaredSum += other.guessSquaredSum;
    guessLengthProductSum += other.guessLengthProductSum;
    return *this;
}

LengthSums& LengthSums::operator*=(double factor)
{
    generationCount *= factor;
    lengthSum *= factor;
    guessCount *= factor;
    guessSum *= factor;
    guessedLengthSum *= factor;
    guessSquaredSum *= factor;
    guessLengthProductSum *= factor;
    return *this;
}

void OutputEstimator::add(const std::string& route, const LengthSums& sums)
{
    auto& routeSums = m_sumsByRoute[route];
    routeSums += sums;
    if (routeSums.generationCount > maxRememberedGenerations)
        routeSums *= maxRememberedGenerations / routeSums.generationCount;
}

void OutputEstimator::addObservation(const std::string& route, std::optional<int> guess, int outputTokens)
{
    auto sums = sumsOf(guess, outputTokens);
    add(route, sums);
    m_unreported[route] += sums;
}

void OutputEstimator::onPeerLengthSums(const LengthSumsByRoute& sumsByRoute)
{
    for (const auto& [route, sums] : sumsByRoute)
        add(route, sums);
}

LengthSumsByRoute OutputEstimator::takeUnreported()
{
    return std::exchange(m_unreported, {});
}

int OutputEstimator::expectedTokens(const std::string& route, std::optional<int> guess, int maxOutputTokens) const
{
    double bound = std::max(1, maxOutputTokens);
    auto found = m_sumsByRoute.find(route);
    bool hasHistory = found != m_sumsByRoute.end() && found->second.generationCount >= minGenerations;
    double logEstimate = hasHistory ? found->second.lengthSum / found->second.generationCount : std::log(bound * defaultShareOfBound);
    if (guess) {
        bool hasMeanGuess = hasHistory && found->second.guessCount >= minGenerations;
        double meanLogGuess = hasMeanGuess ? found->second.guessSum / found->second.guessCount : logEstimate;
        double slope = hasHistory ? slopeOf(found->second) : priorSlope;
        logEstimate += slope * (logTokens(*guess) - meanLogGuess);
    }
    return static_cast<int>(std::clamp(std::exp(logEstimate) * meanOverMedian, 1.0, bound));
}

}
