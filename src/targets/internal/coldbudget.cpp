#include "targets/coldbudget.h"

#include <algorithm>
#include <cmath>

namespace guavaspan {

namespace {

    /// Part of the budget for instances whose view of the fleet is outdated. Others do not count them any more, so they cannot
    /// take a part of the rest.
    constexpr double reservedFraction = 0.2;
    constexpr double requestsPerReserveSharer = 2;
    /// Budget for each sharer, of which one request is its burst. More sharers leave less for the refill: with 31 requests per
    /// second, an overrun of 1.5 and a slack of 5 there are 13 sharers and a refill of 28 requests per second.
    constexpr double requestsPerSharer = 3;
    /// Owners at a time, while one takes over from another.
    constexpr double maxOwners = 2;
    /// Part of an owner's budget that it may place at once. With the figures above an owner places four requests at once and 16
    /// per second, while an engine starts about six prompts per second.
    constexpr double burstFraction = 0.2;
    /// No target takes more; it keeps the conversion to an integer defined.
    constexpr double maxBound = 1e6;

}

ColdBudget::ColdBudget(double requestsPerSecond, ColdBounds bounds)
    : m_requestsPerSecond(requestsPerSecond)
    , m_bound(std::min(requestsPerSecond * bounds.overrun + bounds.slack, maxBound))
    , m_reserveSharers(static_cast<std::size_t>(reservedFraction * m_bound / requestsPerReserveSharer))
    , m_reserve(m_reserveSharers > 0 ? reservedFraction * m_bound : 0)
{
}

std::size_t ColdBudget::sharers(std::size_t instances) const
{
    auto budget = m_bound - m_reserve;
    if (budget < 1)
        return 0;
    return std::min(instances, std::max<std::size_t>(1, static_cast<std::size_t>(budget / requestsPerSharer)));
}

double ColdBudget::share(std::size_t instances) const
{
    auto count = static_cast<double>(sharers(instances));
    return count > 0 ? std::min(m_requestsPerSecond, m_bound - m_reserve - count) / count : 0;
}

double ColdBudget::placementBurst() const
{
    return std::max(1.0, std::floor(burstFraction * (m_bound - m_reserve) / maxOwners));
}

double ColdBudget::placementRate() const
{
    return std::max(0.0, std::min(m_requestsPerSecond / maxOwners, (m_bound - m_reserve) / maxOwners - placementBurst()));
}

double ColdBudget::reserveShare() const
{
    auto count = static_cast<double>(m_reserveSharers);
    return count > 0 ? std::min(m_requestsPerSecond, m_reserve - count) / count : 0;
}

}
