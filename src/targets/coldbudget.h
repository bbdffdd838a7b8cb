#pragma once

#include <cstddef>

namespace guavaspan {

/// How far all instances together may exceed the rate that a cold target tolerates.
struct ColdBounds {
    double overrun = 1;
    double slack = 0;
};

/// Divides the requests that a cold target may get in any one second among the instances.
///
/// Each sharer may send one request at once, so the sharers and the refill of one second together stay within the budget.
class ColdBudget {
public:
    ColdBudget(double requestsPerSecond, ColdBounds);

    /// Requests of all instances together in any one second.
    double bound() const { return m_bound; }

    /// Number of instances that have a share if `instances` share the limit.
    std::size_t sharers(std::size_t instances) const;
    /// Requests per second of one of these sharers.
    double share(std::size_t instances) const;

    /// Requests per second that the owner of a service's pool places on the target. For a short time two instances may each take
    /// themselves for the owner.
    double placementRate() const;
    /// Requests that an owner may place at once.
    double placementBurst() const;

    /// Number of instances with an outdated view of the fleet that have a share of the reserve.
    std::size_t reserveSharers() const { return m_reserveSharers; }
    double reserveShare() const;

private:
    double m_requestsPerSecond;
    double m_bound;
    std::size_t m_reserveSharers = 0;
    double m_reserve = 0;
};

}
