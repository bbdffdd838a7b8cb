#pragma once

#include <map>
#include <optional>
#include <string>

namespace guavaspan {

/// Sums over generations that ended, from which a line through guesses and lengths
/// is drawn. Both count in logarithms; sums of several instances add up.
struct LengthSums {
    double lengths = 0;
    double length = 0;
    /// Those of the generations whose callers guessed.
    double guessCount = 0;
    double guess = 0;
    double guessedLengthSum = 0;
    double guessSquaredSum = 0;
    double guessLengthProductSum = 0;

    LengthSums& operator+=(const LengthSums&);
    LengthSums& operator*=(double);

    friend bool operator==(const LengthSums&, const LengthSums&) = default;
};

using LengthSumsByRoute = std::map<std::string, LengthSums>;

/// Expects output lengths from what a route's generations had and what the caller guesses.
class OutputEstimator {
public:
    void addObservation(const std::string& route, std::optional<int> guess, int outputTokens);

    /// What peers saw.
    void onPeerLengthSums(const LengthSumsByRoute&);

    /// What this instance saw since the last call, for its peers.
    LengthSumsByRoute takeUnreported();

    /// Tokens that a generation will have, not above the caller's bound.
    int expectedTokens(const std::string& route, std::optional<int> guess, int maxOutputTokens) const;

private:
    void add(const std::string& route, const LengthSums&);

    LengthSumsByRoute m_sumsByRoute;
    LengthSumsByRoute m_unreported;
};

}
