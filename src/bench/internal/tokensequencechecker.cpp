#include "bench/internal/tokensequencechecker.h"

#include <fmt/format.h>

namespace guavaspan::bench {

std::optional<std::string> AnswerChecker::take(const std::string& text)
{
    m_rest += text;
    for (auto space = m_rest.find(' '); space != std::string::npos; space = m_rest.find(' ')) {
        auto token = m_rest.substr(0, space);
        m_rest.erase(0, space + 1);
        auto dash = token.find('-');
        auto generation = token.substr(0, dash);
        if (m_next == 0)
            m_generation = generation;
        if (generation != m_generation)
            return fmt::format("generation {} after {}", generation, m_generation);
        if (token.substr(dash + 1) != std::to_string(m_next))
            return fmt::format("token {} where {} was due", token, m_next);
        ++m_next;
    }
    return std::nullopt;
}

}
