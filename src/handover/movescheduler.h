#pragma once

#include "handover/handovertypes.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace guavaspan {

/// A generation at a leaving engine that should move.
struct PendingMove {
    /// Identifies the generation over all instances.
    std::string key;
    std::string source;
    /// Tokens in the engine's memory.
    int tokensHeld = 0;
    int expectedRemainingTokens = 0;
    /// Destinations that refused it.
    std::set<std::string> excludedDestinations;

    friend bool operator==(const PendingMove&, const PendingMove&) = default;
};

/// Permission to use the links of two engines for one move.
struct ScheduledMove {
    std::string key;
    std::string source;
    std::string destination;

    friend bool operator==(const ScheduledMove&, const ScheduledMove&) = default;
};

/// Gives turns at the links between engines. A link carries one copy after the
/// other, and a stopped generation is silent for as long as its last copy waits:
/// so each engine takes part in one move at a time, in the order that saves most of them.
class MoveScheduler {
public:
    /// Gives a destination outside of those excluded, or nothing.
    using DestinationChooser = std::function<std::optional<std::string>(const PendingMove&, const std::set<std::string>& excludedDestinations)>;

    /// Adds a request or replaces one that waits.
    void ask(PendingMove, TimePoint now);

    /// The move is over, or is no longer wanted.
    void end(const std::string& key);

    /// Turns that can be given now.
    std::vector<ScheduledMove> grant(const DestinationChooser&, TimePoint now);

    /// Ends turns that were held too long, and forgets requests that nobody repeats.
    std::vector<std::string> expire(TimePoint now);

    const ScheduledMove* activeMove(const std::string& key) const;
    bool contains(const std::string& key) const { return m_queued.count(key) > 0 || m_active.count(key) > 0; }
    std::size_t queueLength() const { return m_queued.size(); }

private:
    struct QueuedMove {
        PendingMove request;
        TimePoint lastRequestedAt;
    };
    struct ActiveMove {
        ScheduledMove turn;
        TimePoint startedAt;
    };

    bool isBusy(const std::string& engine) const;
    std::set<std::string> busyEngines() const;

    std::map<std::string, QueuedMove> m_queued;
    std::map<std::string, ActiveMove> m_active;
};

}
