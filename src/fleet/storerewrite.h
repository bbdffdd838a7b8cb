#pragma once

#include "common/time.h"

namespace guavaspan {

/// Calls that write an instance's registration again: a lease, an attempt, and one that overwrites what is there.
inline constexpr int callsToRegisterAgain = 3;

/// Time over which all instances together spread their writes to a store that came back from a copy.
Milliseconds rewriteSpread(int instances, int callsOfEach);

}
