#pragma once

#include <map>
#include <optional>
#include <string>

namespace guavaspan {

/// Sums over completed generations for a linear regression of output length on the caller's guess, both in
/// logarithms. The sums of several instances can be added.
struct LengthSums {
    double generationCount = 0;
    double lengthSum = 0;
    /// Sums over the generations for which the caller sent a guess.
    double guessCount = 0;
    double guessSum = 0;
    double guessedLengthSum = 0;
    double guessSquaredSum = 0;
    double guessLengthProductSum = 0;

    LengthSums& operator+=(const LengthSums&);
    LengthSums& operator*=(double);

    friend bool operator==(const LengthSums&, const LengthSums&) = default;
};

using LengthSumsByRoute = std::map<std::string, LengthSums>;

/// Estimates output lengths from the route's completed generations and the caller's guess.
class OutputEstimator {
public:
    void addObservation(const std::string& route, std::optional<int> guess, int outputTokens);

    /// Adds sums that peers reported.
    void onPeerLengthSums(const LengthSumsByRoute&);

    /// Returns the sums recorded on this instance since the last call, to be reported to peers.
    LengthSumsByRoute takeUnreported();

    /// Expected output tokens of a generation, at most the caller's bound.
    int expectedTokens(const std::string& route, std::optional<int> guess, int maxOutputTokens) const;

private:
    void add(const std::string& route, const LengthSums&);

    LengthSumsByRoute m_sumsByRoute;
    LengthSumsByRoute m_unreported;
};

}
