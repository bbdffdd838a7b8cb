#pragma once

#include <optional>
#include <string>

namespace guavaspan::bench {

/// Checks that tokens of the form "generation-offset " come once, in order, from one generation.
class TokenSequenceChecker {
public:
    /// What is wrong with these tokens, if anything.
    std::optional<std::string> consume(const std::string& text);
    int tokenCount() const { return m_nextOffset; }

private:
    std::string m_generation;
    std::string m_incompleteToken;
    int m_nextOffset = 0;
};

}
