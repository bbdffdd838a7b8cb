#pragma once

#include "common/time.h"

#include <cstdint>
#include <string>

namespace guavaspan::soak {

struct SoakOptions {
    std::uint64_t seed = 1;
    double faultSeconds = 20;
    int instances = 4;
    int engines = 4;
    int callers = 24;
    /// "all", "planned" or "none".
    std::string faults = "all";
    /// Some callers send requests that crash engines.
    bool crashingRequests = false;
    /// Callers that send them at the same time.
    int crashingCallers = 2;
    /// Time from the begin of such a request's execution to the crash.
    Milliseconds crashDelay { 0 };
    /// Engines answer such a request for some time before it begins to crash them.
    bool crashesAfterAnswers = false;
    /// Look-ups that several callers each send alike.
    int popularRequests = 0;
    /// Some callers send requests that crash engines by a part of their prompts; no two are alike.
    bool crashingPrompts = false;
    /// Engines of plain requests end if they reject too many, and say so.
    bool brittleEngines = false;
    /// Engines fall silent for a second at times, which excuses nothing.
    bool pausingEngines = false;
    /// Engines state limits of their requests from time to time.
    bool statedLimits = false;
    /// Instances are restarted in series that overlap.
    bool rolling = false;
    /// Stopping instances get more stop signals.
    bool repeatedSignals = false;
    /// Some instances stand still before, during or until shortly before their stop.
    bool frozenStops = false;
    /// The store is silent during some stops.
    bool silentStore = false;
    /// The store comes back from copies that are some seconds old.
    bool restoredStore = false;
    /// Failure domains are evacuated for some seconds at a time.
    bool evacuations = false;
    /// Another writer leaves odd entries among those of the engines.
    bool oddEntries = false;
    /// Engines of plain requests fail or refuse many of them for some seconds at a time.
    bool greyEngines = false;
    /// Some streams last up to ten seconds.
    bool lastingStreams = false;
    /// Some callers send or read slowly, return to idle connections, or send on after "Connection: close".
    bool variedCallers = false;
    /// Path of the program under test.
    std::string program;
    /// Path of an earlier build of the program, which instances run until their first restart; empty for none.
    std::string previousProgram;
    /// Path of this program, which also runs the store and engine processes.
    std::string soakProgram;
    /// Receives logs, settings and records.
    std::string folder;
};

}
