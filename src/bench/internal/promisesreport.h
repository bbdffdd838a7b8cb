#pragma once

#include <map>
#include <string>
#include <vector>

namespace guavaspan::bench {

/// Counts of a run, by kind.
class PromisesReport {
public:
    void count(const std::string& what) { ++m_counts[what]; }
    void fault(const std::string& kind) { ++m_faults[kind]; }
    void violation(const std::string& promise, const std::string& detail);

    int violations() const { return static_cast<int>(m_violations.size()); }
    void print() const;

private:
    std::map<std::string, int> m_counts;
    std::map<std::string, int> m_faults;
    std::vector<std::pair<std::string, std::string>> m_violations;
};

}
