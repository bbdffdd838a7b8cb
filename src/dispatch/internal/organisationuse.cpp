#include "dispatch/organisationuse.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace guavaspan {

namespace {

    /// Time after which use counts by a third: about two long generations.
    constexpr double windowSeconds = 15;
    /// Use is aged in steps, not at each request.
    constexpr auto ageInterval = Milliseconds(200);
    /// Use below this is forgotten, so that organisations that are gone lower nobody's share.
    constexpr double minTokens = 100;
    /// Reports of instances that are gone are forgotten.
    constexpr auto reportLifetime = Seconds(20);

}

void OrganisationUse::age(TimePoint now)
{
    if (m_agedAt == TimePoint {})
        m_agedAt = now;
    if (now < m_agedAt + ageInterval)
        return;
    double factor = std::exp(-std::chrono::duration<double>(now - m_agedAt).count() / windowSeconds);
    m_agedAt = now;
    auto ageTokens = [&](TokensByOrganisation& tokens) {
        for (auto& [organisation, count] : tokens)
            count *= factor;
        std::erase_if(tokens, [](const auto& entry) { return entry.second < minTokens; });
    };
    ageTokens(m_counted);
    for (auto& [instance, report] : m_reports)
        ageTokens(report.tokens);
    std::erase_if(m_reports, [&](const auto& entry) { return entry.second.at + reportLifetime < now || entry.second.tokens.empty(); });
}

void OrganisationUse::updateTotals()
{
    TokensByOrganisation reported;
    for (const auto& [instance, report] : m_reports) {
        for (const auto& [organisation, tokens] : report.tokens)
            reported[organisation] += tokens;
    }
    m_used = m_counted;
    for (const auto& [organisation, tokens] : reported)
        m_used[organisation] = std::max(m_used[organisation], tokens);
    m_totalTokens = 0;
    for (const auto& [organisation, tokens] : m_used)
        m_totalTokens += tokens;
}

void OrganisationUse::add(const std::string& organisation, double tokens, TimePoint now)
{
    if (tokens <= 0)
        return;
    age(now);
    m_counted[organisation] += tokens;
    updateTotals();
}

void OrganisationUse::setReported(const std::string& instance, TokensByOrganisation tokens, TimePoint now)
{
    age(now);
    m_reports.insert_or_assign(instance, Report { .tokens = std::move(tokens), .at = now });
    updateTotals();
}

bool OrganisationUse::isAboveFairShare(const std::string& organisation) const
{
    auto found = m_used.find(organisation);
    if (found == m_used.end())
        return false;
    auto organisations = static_cast<double>(std::max<std::size_t>(2, m_used.size()));
    return found->second * organisations > m_totalTokens;
}

TokensByOrganisation OrganisationUse::largest(std::size_t count, TimePoint now)
{
    age(now);
    std::vector<std::pair<std::string, double>> sorted(m_counted.begin(), m_counted.end());
    std::sort(sorted.begin(), sorted.end(), [](const auto& left, const auto& right) { return left.second > right.second; });
    sorted.resize(std::min(count, sorted.size()));
    return { sorted.begin(), sorted.end() };
}

}
