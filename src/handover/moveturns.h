#pragma once

#include "handover/handovertypes.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace guavaspan {

/// A generation at a leaving engine that should move.
struct MoveRequest {
    /// Identifies the generation over all instances.
    std::string key;
    std::string source;
    /// Tokens in the engine's memory.
    int tokensHeld = 0;
    int expectedRemainingTokens = 0;
    /// Destinations that refused it.
    std::set<std::string> excluded;

    friend bool operator==(const MoveRequest&, const MoveRequest&) = default;
};

/// Permission to use the links of two engines for one move.
struct MoveTurn {
    std::string key;
    std::string source;
    std::string destination;

    friend bool operator==(const MoveTurn&, const MoveTurn&) = default;
};

/// Gives turns at the links between engines. A link carries one copy after the
/// other, and a stopped generation is silent for as long as its last copy waits:
/// so each engine takes part in one move at a time, in the order that saves most of them.
class MoveTurns {
public:
    /// Gives a destination outside of those excluded, or nothing.
    using DestinationChooser = std::function<std::optional<std::string>(const MoveRequest&, const std::set<std::string>& excluded)>;

    /// Adds a request or replaces one that waits.
    void ask(MoveRequest, TimePoint now);

    /// The move is over, or is no longer wanted.
    void end(const std::string& key);

    /// Turns that can be given now.
    std::vector<MoveTurn> grant(const DestinationChooser&, TimePoint now);

    /// Ends turns that were held too long, and forgets requests that nobody repeats.
    std::vector<std::string> expire(TimePoint now);

    const MoveTurn* turnOf(const std::string& key) const;
    bool knows(const std::string& key) const { return m_waiting.count(key) > 0 || m_active.count(key) > 0; }
    std::size_t waiting() const { return m_waiting.size(); }

private:
    struct Waiting {
        MoveRequest request;
        TimePoint lastAsked;
    };
    struct Active {
        MoveTurn turn;
        TimePoint since;
    };

    bool busy(const std::string& engine) const;
    std::set<std::string> busyEngines() const;

    std::map<std::string, Waiting> m_waiting;
    std::map<std::string, Active> m_active;
};

}
