#include "dispatch/outputestimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace guavaspan {

namespace {

    /// Slope assumed of lengths over guesses while few are known. Guesses vary about one and a
    /// half times as much as lengths do, in logarithms.
    constexpr double assumedSlope = 0.4;
    /// Generations that the assumed slope weighs as much as, and the spread of their guesses.
    constexpr double assumedGuesses = 20;
    constexpr double assumedGuessVariance = 2;
    /// Mean over median of lengths around the estimate, for a log-normal spread of 0.65.
    constexpr double meanOverMedian = 1.25;
    /// Share of the bound assumed while nothing is known.
    constexpr double unknownShareOfBound = 0.5;
    /// Generations of the fleet that the history remembers.
    constexpr double mostLengths = 2000;
    /// Generations after which the history counts.
    constexpr double enoughLengths = 5;

    double logOf(int tokens)
    {
        return std::log(std::max(1, tokens));
    }

    LengthSums sumsOf(std::optional<int> guess, int outputTokens)
    {
        LengthSums sums { .lengths = 1, .length = logOf(outputTokens) };
        if (!guess)
            return sums;
        sums.guesses = 1;
        sums.guess = logOf(*guess);
        sums.guessedLength = sums.length;
        sums.guessSquared = sums.guess * sums.guess;
        sums.guessTimesLength = sums.guess * sums.length;
        return sums;
    }

    double slopeOf(const LengthSums& sums)
    {
        double weight = assumedGuesses * assumedGuessVariance;
        if (sums.guesses < 1)
            return assumedSlope;
        double covariance = sums.guessTimesLength - sums.guess * sums.guessedLength / sums.guesses;
        double variance = sums.guessSquared - sums.guess * sums.guess / sums.guesses;
        return (covariance + weight * assumedSlope) / (variance + weight);
    }

}

LengthSums& LengthSums::operator+=(const LengthSums& other)
{
    lengths += other.lengths;
    length += other.length;
    guesses += other.guesses;
    guess += other.guess;
    guessedLength += other.guessedLength;
    guessSquared += other.guessSquared;
    guessTimesLength += other.guessTimesLength;
    return *this;
}

LengthSums& LengthSums::operator*=(double factor)
{
    lengths *= factor;
    length *= factor;
    guesses *= factor;
    guess *= factor;
    guessedLength *= factor;
    guessSquared *= factor;
    guessTimesLength *= factor;
    return *this;
}

void OutputEstimator::add(const std::string& route, const LengthSums& sums)
{
    auto& known = m_routes[route];
    known += sums;
    if (known.lengths > mostLengths)
        known *= mostLengths / known.lengths;
}

void OutputEstimator::observe(const std::string& route, std::optional<int> guess, int outputTokens)
{
    auto sums = sumsOf(guess, outputTokens);
    add(route, sums);
    m_unreported[route] += sums;
}

void OutputEstimator::onPeerLengths(const LengthsByRoute& lengths)
{
    for (const auto& [route, sums] : lengths)
        add(route, sums);
}

LengthsByRoute OutputEstimator::takeUnreported()
{
    return std::exchange(m_unreported, {});
}

int OutputEstimator::expect(const std::string& route, std::optional<int> guess, int maxOutputTokens) const
{
    double bound = std::max(1, maxOutputTokens);
    auto found = m_routes.find(route);
    bool known = found != m_routes.end() && found->second.lengths >= enoughLengths;
    double estimate = known ? found->second.length / found->second.lengths : std::log(bound * unknownShareOfBound);
    if (guess) {
        bool centred = known && found->second.guesses >= enoughLengths;
        double usualGuess = centred ? found->second.guess / found->second.guesses : estimate;
        double slope = known ? slopeOf(found->second) : assumedSlope;
        estimate += slope * (logOf(*guess) - usualGuess);
    }
    return static_cast<int>(std::clamp(std::exp(estimate) * meanOverMedian, 1.0, bound));
}

}
