#include "bench/internal/promisesreport.h"

#include <fmt/format.h>

namespace guavaspan::bench {

void PromisesReport::violation(const std::string& promise, const std::string& detail)
{
    m_violations.emplace_back(promise, detail);
    fmt::print("violation of {}: {}\n", promise, detail);
}

void PromisesReport::print() const
{
    for (const auto& [what, number] : m_counts)
        fmt::print("{:<40} {}\n", what, number);
    for (const auto& [kind, number] : m_faults)
        fmt::print("fault {:<34} {}\n", kind, number);
    fmt::print("violations {}\n", m_violations.size());
}

}
