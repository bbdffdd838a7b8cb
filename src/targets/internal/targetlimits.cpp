#include "targets/targetlimits.h"

#include "common/log.h"

namespace guavaspan {

void TargetLimits::onAnswer(const TargetEntry& target, std::optional<double> requestsPerSecond, TimePoint now)
{
    auto found = m_limits.find(target.id);
    if (!requestsPerSecond) {
        if (found == m_limits.end() || found->second.targetStartedAt != target.startedAt)
            return;
        m_limits.erase(found);
        logEvent(LogLevel::Info, "target_limit_ended", { { "target", target.id } });
        return;
    }
    bool changed = found == m_limits.end() || found->second.requestsPerSecond != *requestsPerSecond;
    m_limits.insert_or_assign(target.id, StatedLimit { .targetStartedAt = target.startedAt, .requestsPerSecond = *requestsPerSecond, .statedAt = now });
    if (changed)
        logEvent(LogLevel::Info, "target_limit_stated", { { "target", target.id }, { "requests_per_s", *requestsPerSecond } });
}

}
