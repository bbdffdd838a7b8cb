#pragma once

#include "handover/handovertypes.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace guavaspan {

/// A generation that waits to move off an engine that is shutting down.
struct PendingMove {
    /// Identifies the generation across all instances.
    std::string key;
    std::string source;
    /// Tokens whose attention state the source engine holds.
    int tokensHeld = 0;
    int expectedRemainingTokens = 0;
    /// Time that the copy takes over an idle link.
    Clock::duration copyTime {};
    /// When the source shuts down, if this is known.
    std::optional<TimePoint> shutdownAt;
    /// Destinations that refused the move or cannot be used any more.
    std::set<std::string> excludedDestinations;

    friend bool operator==(const PendingMove&, const PendingMove&) = default;
};

/// Reserves the links of the source and destination engines for one move.
struct ScheduledMove {
    std::string key;
    std::string source;
    std::string destination;

    friend bool operator==(const ScheduledMove&, const ScheduledMove&) = default;
};

/// Schedules moves so that each engine takes part in at most one at a time. An engine's link
/// carries copies one after another, and a stopped generation produces no tokens until its last
/// copy arrives. Moves are ordered so that as many as possible finish before the engine shuts down; if little time
/// is left, the longest remaining generations move first, and those that can no longer arrive last.
class MoveScheduler {
public:
    /// Returns a destination that is not excluded, or nothing if there is none.
    using DestinationChooser = std::function<std::optional<std::string>(const PendingMove&, const std::set<std::string>& excludedDestinations)>;

    /// Queues a move or replaces the queued move with the same key.
    void add(PendingMove, TimePoint now);

    /// Removes a move that has ended or is no longer needed, whether queued or active.
    void remove(const std::string& key);

    /// Starts all queued moves whose engines are free and returns them.
    std::vector<ScheduledMove> schedule(const DestinationChooser&, TimePoint now);

    /// Ends active moves that exceeded the maximum duration and returns their keys. Removes queued
    /// moves that their instances did not query again in time.
    std::vector<std::string> expire(TimePoint now);

    /// Memory of the queued generations that can still arrive before their sources shut down.
    double queuedTokens(const std::function<bool(const PendingMove&)>& counts, TimePoint now) const;

    const ScheduledMove* activeMove(const std::string& key) const;
    bool contains(const std::string& key) const { return m_queued.count(key) > 0 || m_active.count(key) > 0; }
    std::size_t queueLength() const { return m_queued.size(); }

private:
    struct QueuedMove {
        PendingMove move;
        TimePoint lastQueriedAt;
    };
    struct ActiveMove {
        ScheduledMove move;
        TimePoint startedAt;
    };

    bool isBusy(const std::string& engine) const;
    std::set<std::string> busyEngines() const;

    std::map<std::string, QueuedMove> m_queued;
    std::map<std::string, ActiveMove> m_active;
};

}
