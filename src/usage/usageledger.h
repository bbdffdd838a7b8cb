#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace guavaspan {

/// Requests and tokens charged to an organisation.
struct Usage {
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    std::int64_t requests = 0;

    friend bool operator==(const Usage&, const Usage&) = default;
    friend Usage operator-(const Usage& a, const Usage& b)
    {
        return { .promptTokens = a.promptTokens - b.promptTokens, .outputTokens = a.outputTokens - b.outputTokens, .requests = a.requests - b.requests };
    }
};

using UsageByOrganisation = std::map<std::string, Usage>;

/// Usage totals of one incarnation of an instance, with their key in the store.
struct UsageRecord {
    std::string key;
    UsageByOrganisation totals;

    friend bool operator==(const UsageRecord&, const UsageRecord&) = default;
};

/// Usage counters of one incarnation of one instance. They only grow, so merging
/// copies of a record by their maximum never counts usage twice.
class UsageLedger {
public:
    void charge(const std::string& organisation, const Usage&);
    const UsageByOrganisation& totals() const { return m_totals; }

    /// Number of charges so far.
    std::uint64_t charges() const { return m_charges; }

private:
    UsageByOrganisation m_totals;
    std::uint64_t m_charges = 0;
};

/// Merges two copies of the same record by the maximum of each counter.
UsageByOrganisation mergeRecordCopies(const UsageByOrganisation&, const UsageByOrganisation&);

/// Adds the records of different instances or incarnations.
UsageByOrganisation addRecords(const UsageByOrganisation&, const UsageByOrganisation&);

std::string encodeUsage(const UsageByOrganisation&);
UsageByOrganisation decodeUsage(const std::string&);

}
