#pragma once

#include "dispatch/dispatchtypes.h"

#include <string>
#include <string_view>

namespace guavaspan {

enum class HandoverPhase {
    /// The generation continues while its cached attention state is copied.
    Copy,
    /// The generation stops, the state added since the first copy is copied, and the engine returns a handle.
    Stop,
};

enum class HandoverResult {
    Done,
    /// The engine does not run the generation, or has not started it yet.
    NoSuchRun,
    /// Another call for the generation is in progress.
    Busy,
    /// The destination has too little free memory or cannot be reached.
    DestinationFull,
    /// No answer arrived; the call may have taken effect.
    Unknown,
};

std::string_view toString(HandoverPhase);
std::string_view toString(HandoverResult);

}
