#include "targets/brittleservices.h"

#include "common/log.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Rejections that the pauses leave room for, as a share of those that a target survives: rejections are not spread evenly.
    constexpr double usedShare = 0.5;
    constexpr double minPauseSeconds = 1;
    constexpr double maxPauseSeconds = 8;

}

void BrittleServices::onAnswer(const TargetEntry& target, std::optional<double> survivedRejections)
{
    if (!survivedRejections) {
        if (m_survivedRejections.erase(target.service) > 0)
            logEvent(LogLevel::Info, "service_no_longer_brittle", { { "service", target.service }, { "target", target.id } });
        return;
    }
    auto [known, added] = m_survivedRejections.insert_or_assign(target.service, *survivedRejections);
    if (added)
        logEvent(LogLevel::Warning, "service_brittle", { { "service", target.service }, { "target", target.id }, { "survived_rejections_per_s", *survivedRejections } });
}

std::optional<int> BrittleServices::requestLimit(const TargetEntry& target) const
{
    if (!isBrittle(target.service))
        return std::nullopt;
    return std::max(1, target.slots / static_cast<int>(std::max<std::size_t>(1, m_instances)));
}

std::optional<Clock::duration> BrittleServices::pauseAfterRejection(const std::string& service) const
{
    auto found = m_survivedRejections.find(service);
    if (found == m_survivedRejections.end())
        return std::nullopt;
    auto rejections = usedShare * found->second;
    auto seconds = rejections > 0 ? static_cast<double>(m_instances) / rejections : maxPauseSeconds;
    return fromSeconds(std::clamp(seconds, minPauseSeconds, maxPauseSeconds));
}

}
