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
        LengthSums sums { .lengths = 1, .length = logTokens(outputTokens) };
        if (!guess)
            return sums;
        sums.guessCount = 1;
        sums.guess = logTokens(*guess);
        sums.guessedLengthSum = sums.length;
        sums.guessSquaredSum = sums.guess * sums.guess;
        sums.guessLengthProductSum = sums.guess * sums.length;
        return sums;
    }

    double slopeOf(const LengthSums& sums)
    {
        double weight = priorWeight * priorGuessVariance;
        if (sums.guessCount < 1)
            return priorSlope;
        double covariance = sums.guessLengthProductSum - sums.guess * sums.guessedLengthSum / sums.guessCount;
        double variance = sums.guessSquaredSum - sums.guess * sums.guess / sums.guessCount;
        return (covariance + weight * priorSlope) / (variance + weight);
    }

}

LengthSums& LengthSums::operator+=(const LengthSums& other)
{
    lengths += other.lengths;
    length += other.length;
    guessCount += other.guessCount;
    guess += other.guess;
    guessedLengthSum += other.guessedLengthSum;
    guessSquaredSum += other.guessSquaredSum;
    guessLengthProductSum += other.guessLengthProductSum;
    return *this;
}

LengthSums& LengthSums::operator*=(double factor)
{
    lengths *= factor;
    length *= factor;
    guessCount *= factor;
    guess *= factor;
    guessedLengthSum *= factor;
    guessSquaredSum *= factor;
    guessLengthProductSum *= factor;
    return *this;
}

void OutputEstimator::add(const std::string& route, const LengthSums& sums)
{
    auto& known = m_sumsByRoute[route];
    known += sums;
    if (known.lengths > maxRememberedGenerations)
        known *= maxRememberedGenerations / known.lengths;
}

void OutputEstimator::addObservation(const std::string& route, std::optional<int> guess, int outputTokens)
{
    auto sums = sumsOf(guess, outputTokens);
    add(route, sums);
    m_unreported[route] += sums;
}

void OutputEstimator::onPeerLengthSums(const LengthSumsByRoute& lengths)
{
    for (const auto& [route, sums] : lengths)
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
    bool known = found != m_sumsByRoute.end() && found->second.lengths >= minGenerations;
    double estimate = known ? found->second.length / found->second.lengths : std::log(bound * defaultShareOfBound);
    if (guess) {
        bool hasMeanGuess = known && found->second.guessCount >= minGenerations;
        double meanLogGuess = hasMeanGuess ? found->second.guess / found->second.guessCount : estimate;
        double slope = known ? slopeOf(found->second) : priorSlope;
        estimate += slope * (logTokens(*guess) - meanLogGuess);
    }
    return static_cast<int>(std::clamp(std::exp(estimate) * meanOverMedian, 1.0, bound));
}

}
