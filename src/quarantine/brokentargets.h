#pragma once

#include "quarantine/interruptionlog.h"

#include <map>
#include <optional>

namespace guavaspan {

/// Targets that broke requests, and whether they have answered since. What is known of a target outlasts the suspicion of the
/// requests that it broke.
class BrokenTargets {
public:
    void onBroken(const TargetIncarnation&, TimePoint endedAt);
    /// The target answered a request that was sent at this time.
    void onAnswered(const TargetIncarnation&, TimePoint sentAt);
    void remove(const TargetIncarnation& target) { m_targets.erase(target); }
    void removeExpired(TimePoint now);
    bool empty() const { return m_targets.empty(); }

    /// True if the target had broken another request before this one was sent, and has answered none since.
    bool hadCrashedBefore(const TargetIncarnation&, TimePoint sentAt) const;
    /// True if the target has broken a request lately and has answered none since.
    bool mayHaveCrashed(const TargetIncarnation&, TimePoint now) const;
    /// True if the target has answered a request that was sent after this time.
    bool hasAnsweredSince(const TargetIncarnation&, TimePoint) const;

private:
    struct Target {
        /// The first and the last break since the target answered.
        std::optional<TimePoint> brokenSince;
        TimePoint lastBrokenAt;
        /// When the request was sent that the target answered last.
        std::optional<TimePoint> answeredFrom;
    };

    std::map<TargetIncarnation, Target> m_targets;
};

}
