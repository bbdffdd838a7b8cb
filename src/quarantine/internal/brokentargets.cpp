#include "quarantine/brokentargets.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// The entry of a crashed target expires within this time.
    constexpr auto entryLifetime = Milliseconds(4000);
    /// Longer than reports of a break are repeated.
    constexpr auto answerLifetime = Seconds(60);

}

void BrokenTargets::onBroken(const TargetIncarnation& target, TimePoint endedAt)
{
    auto& known = m_targets[target];
    if (!known.brokenSince)
        known.brokenSince = endedAt;
    known.lastBrokenAt = std::max(known.lastBrokenAt, endedAt);
}

void BrokenTargets::onAnswered(const TargetIncarnation& target, TimePoint sentAt)
{
    auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    auto& known = found->second;
    known.answeredFrom = std::max(known.answeredFrom.value_or(sentAt), sentAt);
    if (known.lastBrokenAt < sentAt)
        known.brokenSince.reset();
}

void BrokenTargets::removeExpired(TimePoint now)
{
    std::erase_if(m_targets, [&](const auto& entry) {
        const Target& known = entry.second;
        bool isBroken = known.brokenSince && known.lastBrokenAt + entryLifetime >= now;
        bool hasAnswered = known.answeredFrom && *known.answeredFrom + answerLifetime >= now;
        return !isBroken && !hasAnswered;
    });
}

bool BrokenTargets::hadCrashedBefore(const TargetIncarnation& target, TimePoint sentAt) const
{
    auto found = m_targets.find(target);
    return found != m_targets.end() && found->second.brokenSince && *found->second.brokenSince <= sentAt && found->second.lastBrokenAt + entryLifetime > sentAt;
}

bool BrokenTargets::mayHaveCrashed(const TargetIncarnation& target, TimePoint now) const
{
    auto found = m_targets.find(target);
    return found != m_targets.end() && found->second.brokenSince && found->second.lastBrokenAt + entryLifetime > now;
}

bool BrokenTargets::hasAnsweredSince(const TargetIncarnation& target, TimePoint time) const
{
    auto found = m_targets.find(target);
    return found != m_targets.end() && found->second.answeredFrom && *found->second.answeredFrom > time;
}

}
