#pragma once

#include <map>
#include <optional>
#include <string>

namespace guavaspan {

/// Expects output lengths from what a route's generations had and what the caller guesses.
class OutputEstimator {
public:
    void observe(const std::string& route, int outputTokens);

    /// Tokens that a generation will have, not above the caller's bound.
    int expect(const std::string& route, std::optional<int> guess, int maxOutputTokens) const;

private:
    struct Record {
        double meanLog = 0;
        double weight = 0;
    };

    std::map<std::string, Record> m_routes;
};

}
