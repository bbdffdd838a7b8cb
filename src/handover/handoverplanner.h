#pragma once

#include "dispatch/dispatchtypes.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace guavaspan {

/// A generation that runs at a leaving engine.
struct HandoverRun {
    WorkId id = 0;
    /// Tokens in the engine's memory.
    int tokensHeld = 0;
    int expectedRemainingTokens = 0;
    /// It has produced something; before that an engine knows no run to copy.
    bool begun = false;

    friend bool operator==(const HandoverRun&, const HandoverRun&) = default;
};

enum class HandoverPhase {
    /// The run goes on while its memory is copied.
    Copy,
    /// The run stops, what is new is copied, and a handle is given.
    Stop,
};

std::string_view toString(HandoverPhase);

/// One call to make at the leaving engine.
struct HandoverStep {
    WorkId run = 0;
    HandoverPhase phase = HandoverPhase::Copy;
    std::string destination;

    friend bool operator==(const HandoverStep&, const HandoverStep&) = default;
};

enum class HandoverResult {
    Done,
    /// The engine does not know the run, or not yet.
    NoSuchRun,
    /// Another call for the run is in progress.
    Busy,
    /// The destination has no room or cannot be reached.
    DestinationFull,
    /// No answer; whether the call took effect is unknown.
    Unknown,
};

std::string_view toString(HandoverResult);

/// Plans the moves of one leaving engine's generations. The engine's link carries
/// one copy at a time, so each run is copied whole while it goes on and stopped
/// only for what is new since; the next run follows after that.
class HandoverPlanner {
public:
    using DestinationChooser = std::function<std::optional<std::string>(const HandoverRun&, const std::set<std::string>& excluded)>;

    /// Copies start no sooner than this; until then peers use the link.
    explicit HandoverPlanner(TimePoint startAt)
        : m_startAt(startAt)
    {
    }

    std::optional<HandoverStep> nextStep(const std::vector<HandoverRun>&, const DestinationChooser&, TimePoint now);
    void onStepEnded(const HandoverStep&, HandoverResult, TimePoint now);

private:
    struct Attempt {
        std::set<std::string> fullDestinations;
        int failures = 0;
        TimePoint notBefore;
        bool over = false;
    };

    std::optional<HandoverStep> chooseRun(const std::vector<HandoverRun>&, const DestinationChooser&, TimePoint now);

    TimePoint m_startAt;
    std::map<WorkId, Attempt> m_attempts;
    /// A run whose copy is complete and that is to be stopped next.
    std::optional<HandoverStep> m_copied;
};

}
