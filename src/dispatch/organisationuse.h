#pragma once

#include "common/time.h"

#include <map>
#include <string>

namespace guavaspan {

using TokensByOrganisation = std::map<std::string, double>;

/// Tokens that organisations received lately. Older use loses its weight, so that an organisation that used much at one
/// moment is not served last for longer than the window.
class OrganisationUse {
public:
    void add(const std::string& organisation, double tokens, TimePoint now);

    /// Replaces what a peer reports to have received. The owner of a pool counts its grants itself, so this matters only
    /// for an instance that became the owner lately.
    void setReported(const std::string& instance, TokensByOrganisation, TimePoint now);

    /// True if the organisation received more than its equal share; shares are those of at least two organisations, so
    /// that one that has all targets alone is above its share while another one waits.
    bool isAboveFairShare(const std::string& organisation) const;

    /// The organisations that received most, for a report to peers.
    TokensByOrganisation largest(std::size_t count, TimePoint now);

private:
    struct Report {
        TokensByOrganisation tokens;
        TimePoint at;
    };

    void age(TimePoint now);
    void updateTotals();

    TokensByOrganisation m_counted;
    std::map<std::string, Report> m_reports;
    /// For each organisation the larger one of what was counted and what is reported, and the sum of them.
    TokensByOrganisation m_used;
    double m_totalTokens = 0;
    TimePoint m_agedAt {};
};

}
