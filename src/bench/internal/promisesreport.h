#pragma once

#include <map>
#include <string>
#include <vector>

namespace guavaspan::bench {

/// Counts request outcomes and injected faults by name, and collects violations.
class PromisesReport {
public:
    void countOutcome(const std::string& outcome) { ++m_outcomeCounts[outcome]; }
    void countFault(const std::string& faultName) { ++m_faultCounts[faultName]; }
    void addViolation(const std::string& guarantee, const std::string& detail);

    int violationCount() const { return static_cast<int>(m_violations.size()); }
    void print() const;

private:
    std::map<std::string, int> m_outcomeCounts;
    std::map<std::string, int> m_faultCounts;
    std::vector<std::pair<std::string, std::string>> m_violations;
};

}
