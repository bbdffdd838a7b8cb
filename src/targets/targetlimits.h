#pragma once

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

/// Keeps requests to a target within what the target states in its answers: a limit for the requests of all
/// instances together, and pauses for this instance. Each
/// instance spends a share of the limit without asking others; the shares of all instances add up to it.
class TargetLimits {
public:
    explicit TargetLimits(std::string self);

    /// Names of the instances that share the limits, with or without this one.
    void onInstances(const std::vector<std::string>& names, TimePoint now);

    /// An answer of this target arrived; without a limit it takes any number of requests.
    void onAnswer(const TargetEntry&, std::optional<double> requestsPerSecond, TimePoint now);
    void onPeerLimits(const StatedLimits&, TimePoint now);

    /// Limits that targets recently stated to this instance, for its peers.
    StatedLimits ownLimits(TimePoint now) const;

    /// The target refused a request and wants no other from this instance for some time.
    void onPauseRequested(const TargetEntry&, Clock::duration, TimePoint now);

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
    bool empty() const { return m_limits.empty() && m_pausedUntil.empty(); }

private:
    struct Limit {
        std::int64_t targetStartedAt = 0;
        std::optional<double> requestsPerSecond;
        TimePoint statedAt;
        /// Stated to this instance, not reported by a peer.
        bool own = false;
        /// This instance's share in requests per second; zero if others have the whole limit.
        double share = 0;
        /// Requests that may be sent now; negative after take().
        double tokens = 0;
        TimePoint refilledAt;
    };

    void update(const std::string& target, Limit, TimePoint now);
    double shareOf(const std::string& target, double requestsPerSecond) const;
    Limit* refilledLimit(const std::string& target, TimePoint now);
    void removeExpired(TimePoint now);

    std::string m_self;
    std::map<std::string, TimePoint> m_instancesSeenAt;
    std::map<std::string, Limit> m_limits;
    /// Targets that get no request from this instance until then.
    std::map<std::string, TimePoint> m_pausedUntil;
};

}
