#include "dispatch/outputestimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace guavaspan {

namespace {

    /// Slope assumed of lengths over guesses while few are known. Guesses vary about one and a
    /// half times as much as lengths do, in logarithms.
    constexpr double priorSlope = 0.4;
    /// Generations that the assumed slope weighs as much as, and the spread of their guesses.
    constexpr double priorWeight = 20;
    constexpr double priorGuessVariance = 2;
    /// Mean over median of lengths around the estimate, for a log-normal spread of 0.65.
    constexpr double meanOverMedian = 1.25;
    /// Share of the bound assumed while nothing is known.
    constexpr double defaultShareOfBound = 0.5;
    /// Generations of the fleet that the history remembers.
    constexpr double maxRememberedGenerations = 2000;
    /// Generations after which the history counts.
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
    auto& routeSums = m_routes[route];
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
    auto found = m_routes.find(route);
    bool hasHistory = found != m_routes.end() && found->second.generationCount >= minGenerations;
    double logEstimate = hasHistory ? found->second.lengthSum / found->second.generationCount : std::log(bound * defaultShareOfBound);
    if (guess) {
        bool hasUsualGuess = hasHistory && found->second.guessCount >= minGenerations;
        double meanLogGuess = hasUsualGuess ? found->second.guessSum / found->second.guessCount : logEstimate;
        double slope = hasHistory ? slopeOf(found->second) : priorSlope;
        logEstimate += slope * (logTokens(*guess) - meanLogGuess);
    }
    return static_cast<int>(std::clamp(std::exp(logEstimate) * meanOverMedian, 1.0, bound));
}

}
