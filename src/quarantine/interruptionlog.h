#pragma once

#include "common/time.h"
#include "targets/targettypes.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace guavaspan {

/// One process of a target.
struct TargetIncarnation {
    std::string target;
    std::int64_t startedAt = 0;

    friend auto operator<=>(const TargetIncarnation&, const TargetIncarnation&) = default;
};

TargetIncarnation incarnationOf(const TargetEntry&);

/// An attempt to run a request at a target that ended without a complete answer.
struct Interruption {
    TargetIncarnation target;
    TimePoint sentAt;
    TimePoint endedAt;
    /// The caller left or the deadline passed while the target was silent, or the path to it was lost.
    bool abandoned = false;
    /// No other suspect was sent to the target while the request ran.
    bool onTrial = false;
    /// Observed by this instance, not reported by a peer.
    bool local = false;
    /// The target has crashed.
    bool confirmed = false;

    /// True if it is evidence of a crash before the crash is confirmed.
    bool isEvidence() const { return confirmed || !abandoned; }
};

/// Recent interruptions of one request, at most one for each incarnation of a target.
class InterruptionLog {
public:
    /// Longer than an outage of the store and the expiry of the target's entry after it.
    static constexpr Clock::duration defaultLifetime = Seconds(30);

    explicit InterruptionLog(Clock::duration lifetime = defaultLifetime)
        : m_lifetime(lifetime)
    {
    }

    /// Returns false if the incarnation has an interruption already.
    bool add(Interruption);

    Interruption* find(const TargetIncarnation&);
    const Interruption* find(const TargetIncarnation&) const;

    /// Removes the unconfirmed interruption of an incarnation that has since been seen alive.
    void onAlive(const TargetIncarnation&, TimePoint provenAt);

    /// Removes unconfirmed interruptions whose lifetime has passed, and confirmed ones after their own lifetime.
    void removeExpired(TimePoint now);
    void removeEndedBefore(TimePoint);
    const std::vector<Interruption>& entries() const { return m_interruptions; }
    bool empty() const { return m_interruptions.empty(); }

    /// Numbers of separate incidents. An interruption on trial is one by itself; others that overlap in time and end together may have one
    /// cause other than the request, such as the loss of a failure domain, and form one incident.
    std::size_t confirmedIncidents() const;
    /// Counts confirmed interruptions and unconfirmed ones that were not abandoned.
    std::size_t possibleIncidents() const;
    /// Number of targets with interruptions that possibleIncidents() counts.
    std::size_t possibleCrashes() const;
    /// Those at other targets until a point in time.
    std::size_t possibleCrashesElsewhere(const TargetIncarnation&, TimePoint until) const;
    std::size_t confirmedCrashes() const;

    /// Median time from sending to interruption; the maximum if there is none. A request that crashes its target is
    /// interrupted soon after it starts.
    Clock::duration medianRunTime() const;
    /// Longest time from sending to interruption; zero if there is none.
    Clock::duration longestRunTime() const;

private:
    Clock::duration m_lifetime;
    std::vector<Interruption> m_interruptions;
};

}
