#include "bench/internal/tokensequencechecker.h"

#include <fmt/format.h>

namespace guavaspan::bench {

std::optional<std::string> TokenSequenceChecker::consume(const std::string& text)
{
    m_incompleteToken += text;
    for (auto space = m_incompleteToken.find(' '); space != std::string::npos; space = m_incompleteToken.find(' ')) {
        auto token = m_incompleteToken.substr(0, space);
        m_incompleteToken.erase(0, space + 1);
        auto separator = token.find('-');
        auto generation = token.substr(0, separator);
        if (m_nextOffset == 0)
            m_generation = generation;
        if (generation != m_generation)
            return fmt::format("token of generation {} after generation {}", generation, m_generation);
        if (token.substr(separator + 1) != std::to_string(m_nextOffset))
            return fmt::format("token {} instead of offset {}", token, m_nextOffset);
        ++m_nextOffset;
    }
    return std::nullopt;
}

}
