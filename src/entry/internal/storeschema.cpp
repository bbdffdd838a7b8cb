#include "entry/storeschema.h"

namespace guavaspan {

std::optional<std::strong_ordering> StoreSchema::compareWriteOrder(const std::string& key, const std::string& left, const std::string& right) const
{
    if (key == configurationKey) {
        auto leftConfiguration = decodeConfiguration(left);
        auto rightConfiguration = decodeConfiguration(right);
        if (!leftConfiguration || !rightConfiguration)
            return std::nullopt;
        return leftConfiguration->version <=> rightConfiguration->version;
    }
    if (!key.starts_with(targetPrefix))
        return std::nullopt;
    auto id = key.substr(targetPrefix.size());
    auto leftTarget = decodeTarget(id, left);
    auto rightTarget = decodeTarget(id, right);
    if (!leftTarget || !rightTarget)
        return std::nullopt;
    return guavaspan::compareWriteOrder(*leftTarget, *rightTarget);
}

/// Targets write their entries again and again, with the time that their warm-up still takes.
bool StoreSchema::changesMoreThanHeartbeat(const std::string& key, const std::string& oldValue, const std::string& newValue) const
{
    if (!key.starts_with(targetPrefix))
        return true;
    auto id = key.substr(targetPrefix.size());
    auto oldTarget = decodeTarget(id, oldValue);
    auto newTarget = decodeTarget(id, newValue);
    if (!oldTarget || !newTarget)
        return true;
    bool warmUpEnds = oldTarget->warmUpRemaining.count() > 0 && newTarget->warmUpRemaining.count() <= 0;
    // The time counts down, and peers count along, so one that did not shrink shows that the target became cold again.
    bool warmUpRestarts = newTarget->warmUpRemaining.count() > 0 && newTarget->warmUpRemaining >= oldTarget->warmUpRemaining;
    if (warmUpEnds || warmUpRestarts)
        return true;
    oldTarget->sequence = newTarget->sequence;
    oldTarget->warmUpRemaining = newTarget->warmUpRemaining;
    return *oldTarget != *newTarget;
}

}
