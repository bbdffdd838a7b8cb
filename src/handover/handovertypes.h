#pragma once

#include "dispatch/dispatchtypes.h"

#include <string>
#include <string_view>

namespace guavaspan {

enum class HandoverPhase {
    /// The run goes on while its memory is copied.
    Copy,
    /// The run stops, what is new is copied, and a handle is given.
    Stop,
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

std::string_view toString(HandoverPhase);
std::string_view toString(HandoverResult);

}
