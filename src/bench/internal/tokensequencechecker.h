#pragma once

#include <optional>
#include <string>

namespace guavaspan::bench {

/// Checks that tokens of the form "generation-offset " arrive once, in order, from one generation.
class TokenSequenceChecker {
public:
    /// Checks the tokens completed by this text; returns a description of the first error.
    std::optional<std::string> consume(const std::string& text);
    int tokenCount() const { return m_nextOffset; }

private:
    std::string m_generation;
    std::string m_incompleteToken;
    int m_nextOffset = 0;
};

}
