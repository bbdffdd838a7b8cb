#pragma once

#include <optional>
#include <string>

namespace guavaspan::bench {

/// Checks that tokens of the form "generation-offset " come once, in order, from one generation.
class AnswerChecker {
public:
    /// What is wrong with these tokens, if anything.
    std::optional<std::string> take(const std::string& text);
    int tokens() const { return m_next; }

private:
    std::string m_generation;
    std::string m_rest;
    int m_next = 0;
};

}
