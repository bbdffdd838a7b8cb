#include "routing/activeconfiguration.h"

namespace guavaspan {

bool ActiveConfiguration::adopt(RoutingConfiguration configuration)
{
    if (m_table && configuration.version <= m_table->version())
        return false;
    m_table = std::make_shared<const RouteTable>(std::move(configuration));
    return true;
}

/// The store may have lost the newer version, which may revoke keys.
void ActiveConfiguration::confirm(BootTime at)
{
    if (!knowsNewerVersion())
        m_confirmedAt = std::max(m_confirmedAt, at);
}

}
