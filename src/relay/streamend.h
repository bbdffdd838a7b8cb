#pragma once

#include "handover/itargetoperations.h"
#include "targets/targettypes.h"

#include <optional>
#include <string>

namespace guavaspan {

/// How the body of an engine's event stream ended, in order and without an error.
struct StreamEnd {
    /// The last event is incomplete.
    bool hasPartialFrame = false;
    /// Only the end of the connection marks the end of the body.
    bool endsAtClose = false;
    /// The generation was stopped and can be resumed elsewhere.
    bool hasPendingMove = false;
    /// The engine was requested to stop the generation, and has not answered that there is none.
    bool mayHaveStopped = false;
    /// The engine has not ended and does not shut down.
    bool isTargetReady = true;
};

enum class StreamVerdict {
    Complete,
    Incomplete,
    /// The body looks the same whether the generation is complete or not; only the engine knows.
    Ambiguous,
};

StreamVerdict judge(const StreamEnd&);

/// What an engine says about a generation whose stream has ended.
enum class RunState {
    /// The engine is the one that ran the generation, and does so no longer.
    Over,
    Running,
    /// The engine cannot be asked, is another one, or does not list its generations.
    Unknown,
};

std::string_view toString(RunState);

/// The state of the request's generation at the target, according to the target's report.
RunState runStateIn(const std::optional<TargetReport>&, const TargetEntry&, const std::string& requestId);

}
