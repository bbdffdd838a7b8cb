#pragma once

#include "routing/routetable.h"

#include <memory>

namespace guavaspan {

/// The routing configuration in force on this instance and the time of its last
/// confirmation; keys may have been revoked since then.
class ActiveConfiguration {
public:
    /// Keys are accepted for at most this time after the last confirmation.
    explicit ActiveConfiguration(Clock::duration maxUnconfirmedTime)
        : m_maxUnconfirmedTime(maxUnconfirmedTime)
    {
    }

    void setMaxUnconfirmedTime(Clock::duration maxUnconfirmedTime) { m_maxUnconfirmedTime = maxUnconfirmedTime; }

    /// Returns true if the configuration was newer than the one in force and replaced it.
    bool adopt(RoutingConfiguration);
    /// Has no effect while a newer version than the one in force is known.
    void confirm(BootTime at);
    /// A peer has this version in force.
    void onVersionKnown(std::int64_t version) { m_newestKnownVersion = std::max(m_newestKnownVersion, version); }
    bool knowsNewerVersion() const { return m_newestKnownVersion > version(); }

    /// 0 if there is none.
    std::int64_t version() const { return m_table ? m_table->version() : 0; }
    bool ready() const { return m_table != nullptr; }
    std::shared_ptr<const RouteTable> table() const { return m_table; }
    bool keysAreCurrent(BootTime now) const { return now - m_confirmedAt <= m_maxUnconfirmedTime; }
    Clock::duration age(BootTime now) const { return now - m_confirmedAt; }

private:
    Clock::duration m_maxUnconfirmedTime;
    std::shared_ptr<const RouteTable> m_table;
    BootTime m_confirmedAt;
    std::int64_t m_newestKnownVersion = 0;
};

}
