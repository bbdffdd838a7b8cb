#include "bench/internal/promisesreport.h"

#include <fmt/format.h>

namespace guavaspan::bench {

void PromisesReport::addViolation(const std::string& guarantee, const std::string& detail)
{
    m_violations.emplace_back(guarantee, detail);
    fmt::print("violation of {}: {}\n", guarantee, detail);
}

void PromisesReport::print() const
{
    for (const auto& [outcome, occurrences] : m_outcomeCounts)
        fmt::print("{:<40} {}\n", outcome, occurrences);
    for (const auto& [faultName, occurrences] : m_faultCounts)
        fmt::print("fault {:<34} {}\n", faultName, occurrences);
    fmt::print("violations {}\n", m_violations.size());
}

}
