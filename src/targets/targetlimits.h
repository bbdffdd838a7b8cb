#pragma once

#include "targets/coldbudget.h"
#include "targets/requestbucket.h"
#include "targets/targettypes.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace guavaspan {

/// A limit as a target last stated it to one instance.
struct StatedLimit {
    /// Start of the target's process, which identifies its incarnation.
    std::int64_t targetStartedAt = 0;
    /// Requests that the target takes from all instances together; empty if it states no limit any more.
    std::optional<double> requestsPerSecond;
    /// Time since the answer.
    Milliseconds age { 0 };

    friend bool operator==(const StatedLimit&, const StatedLimit&) = default;
};

using StatedLimits = std::map<std::string, StatedLimit>;

/// Instances that share the limits of cold targets, as this one sees them.
struct ColdSharers {
    /// With this one.
    std::vector<std::string> instances;
    /// The view was complete once, but other instances may share the limits by now.
    bool outdated = false;
    /// Services whose pools this instance owns.
    std::set<std::string> ownedPools;

    friend bool operator==(const ColdSharers&, const ColdSharers&) = default;
};

/// Keeps requests to a target within its limits: the one that it states in its answers and the one of its service for cold
/// targets, both for the requests of all instances together, and pauses for this instance. Each
/// instance spends a share of a limit without asking others; the shares of all instances add up to it. For services with a pool
/// the pool's owner spends the limit of a cold target when it places a request, and instances that send it need no share.
class TargetLimits {
public:
    explicit TargetLimits(std::string self, ColdBounds = {});

    /// Names of the instances that share the limits, with or without this one.
    void onInstances(const std::vector<std::string>& names, TimePoint now);

    /// An answer of this target arrived; without a limit it takes any number of requests.
    void onAnswer(const TargetEntry&, std::optional<double> requestsPerSecond, TimePoint now);
    void onPeerLimits(const StatedLimits&, TimePoint now);

    /// Limits that targets recently stated to this instance, for its peers.
    StatedLimits ownLimits(TimePoint now) const;

    /// The target refused a request and wants no other from this instance for some time.
    void onPauseRequested(const TargetEntry&, Clock::duration, TimePoint now);

    /// Requests per second that cold targets tolerate, by service; those of other services tolerate any number.
    void setColdServices(std::map<std::string, double>, TimePoint now);

    /// Services with a pool, whose owner places all requests.
    void setPooledServices(std::set<std::string>, TimePoint now);

    /// Without a value this instance must not send requests to cold targets, since others may not count it or it may not
    /// know them.
    void onColdSharers(std::optional<ColdSharers>, TimePoint now);

    /// The target's entry was written.
    void onEntry(const TargetEntry&, TimePoint now);

    /// An answer states for how long the target stays cold.
    void onWarmUpAnswer(const TargetEntry&, Milliseconds remaining, TimePoint now);

    /// Targets on which this instance must place no request of a pool now, since they are cold.
    std::set<std::string> exhaustedForPlacement(TimePoint now);

    /// This instance placed a request of a pool on the target.
    void onPlaced(const std::string& target, TimePoint now);

    /// The part of waitTime() that is due to the limit of a cold target.
    Clock::duration coldWaitTime(const std::string& target, TimePoint now);

    /// Targets that are cold now and limited for this reason.
    std::size_t coldTargets(TimePoint now) const;

    /// The target has left or restarted, so what it stated does not hold any more.
    void onTargetGone(const std::string& target);

    /// Time until the target may get a request from this instance; zero if it may now.
    Clock::duration waitTime(const std::string& target, TimePoint now);

    /// Takes one request from this instance's share; false if none is left.
    bool tryTake(const TargetEntry&, TimePoint now);

    /// Takes one request even if none is left, for a running generation that would otherwise be lost.
    void take(const TargetEntry&, TimePoint now);

    /// Targets that may get no request from this instance now.
    std::set<std::string> exhaustedTargets(TimePoint now);

    /// Number of targets that stated a limit or requested a pause.
    std::size_t size() const { return m_limits.size() + m_pausedUntil.size(); }
    bool empty() const { return m_limits.empty() && m_pausedUntil.empty() && m_coldTargets.empty(); }

private:
    struct Limit {
        std::int64_t targetStartedAt = 0;
        std::optional<double> requestsPerSecond;
        TimePoint statedAt;
        /// Stated to this instance, not reported by a peer.
        bool own = false;
        RequestBucket bucket;
    };
    struct ColdTarget {
        std::string service;
        std::int64_t targetStartedAt = 0;
        /// Number of the last entry that was taken into account.
        std::int64_t sequence = 0;
        TimePoint until;
        /// When an answer last stated it.
        std::optional<TimePoint> answeredAt;
        /// The service states a limit.
        bool limited = false;
        /// The limit is spent when a request is placed, not when it is sent.
        bool pooled = false;
        RequestBucket bucket;
    };

    void update(const std::string& target, Limit, TimePoint now);
    double shareOf(const std::string& target, double requestsPerSecond) const;
    void setCold(const TargetEntry&, Milliseconds remaining, bool answered, TimePoint now);
    void updateColdShares(TimePoint now);
    void updateColdShare(const std::string& target, ColdTarget&) const;
    static bool applies(const ColdTarget&, TimePoint now);
    ColdTarget* refilledColdTarget(const std::string& target, bool pooled, TimePoint now);
    Limit* refilledLimit(const std::string& target, TimePoint now);
    void removeExpired(TimePoint now);

    std::string m_self;
    ColdBounds m_coldBounds;
    std::map<std::string, double> m_coldServices;
    std::set<std::string> m_pooledServices;
    std::optional<ColdSharers> m_coldSharers;
    std::map<std::string, ColdTarget> m_coldTargets;
    std::map<std::string, TimePoint> m_instancesSeenAt;
    std::map<std::string, Limit> m_limits;
    /// Targets that get no request from this instance until then.
    std::map<std::string, TimePoint> m_pausedUntil;
};

}
