#pragma once

#include "routing/routetable.h"

#include <memory>

namespace guavaspan {

/// The configuration in force here, and whether it may still be trusted for keys
/// that could have been taken away since it was last confirmed.
class ActiveConfiguration {
public:
    /// A key counts for no longer than this without a confirmation.
    explicit ActiveConfiguration(Clock::duration longestUnconfirmed)
        : m_longestUnconfirmed(longestUnconfirmed)
    {
    }

    /// True if it is newer than the one in force; an older one is never adopted.
    bool adopt(RoutingConfiguration);
    void confirm(BootTime at) { m_confirmedAt = std::max(m_confirmedAt, at); }

    bool ready() const { return m_table != nullptr; }
    std::shared_ptr<const RouteTable> table() const { return m_table; }
    bool keysAreCurrent(BootTime now) const { return now - m_confirmedAt <= m_longestUnconfirmed; }
    Clock::duration age(BootTime now) const { return now - m_confirmedAt; }

private:
    Clock::duration m_longestUnconfirmed;
    std::shared_ptr<const RouteTable> m_table;
    BootTime m_confirmedAt;
};

}
