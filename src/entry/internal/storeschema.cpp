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

}
