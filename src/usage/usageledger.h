#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace guavaspan {

/// Tokens that an organisation was served.
struct Usage {
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    std::int64_t requests = 0;

    friend bool operator==(const Usage&, const Usage&) = default;
};

using UsageByOrganisation = std::map<std::string, Usage>;

/// Counters of one life of one instance. They only grow, so the largest copy of
/// a record replaces every smaller one, and merging cannot count twice.
class UsageLedger {
public:
    void charge(const std::string& organisation, const Usage&);
    const UsageByOrganisation& totals() const { return m_totals; }

    /// True since the last call if anything was charged.
    bool takeChanged();

private:
    UsageByOrganisation m_totals;
    bool m_changed = false;
};

/// Takes the larger of two copies of the same record, member by member.
UsageByOrganisation mergeRecordCopies(const UsageByOrganisation&, const UsageByOrganisation&);

/// Adds the records of different instances or lives.
UsageByOrganisation addRecords(const UsageByOrganisation&, const UsageByOrganisation&);

std::string encodeUsage(const UsageByOrganisation&);
UsageByOrganisation decodeUsage(const std::string&);

}
