#pragma once

#include "common/random.h"
#include "common/time.h"
#include "soak/record.h"

#include <optional>

namespace guavaspan::soak {

/// How a request ends the engines that execute it, as its path states.
struct CrashTrigger {
    /// Tells the requests of one run of the soak apart.
    SoakTime number = 0;
    /// Engines answer the request until this time.
    SoakTime from = 0;
    /// Time from the begin of the execution to the crash.
    Milliseconds delay { 0 };
    /// The engine becomes silent for some seconds before it ends.
    bool silent = false;

    friend bool operator==(const CrashTrigger&, const CrashTrigger&) = default;
};

/// The part of a path that states the trigger.
std::string encode(const CrashTrigger&);

/// Empty if the path states none.
std::optional<CrashTrigger> parseCrashTrigger(const std::string& path);

/// Lists the parts of a prompt with this part, the last of which no other prompt has.
std::string listPromptParts(const std::string& part, Random&);

/// True if a listed part ends the engines that begin to answer a request with it.
bool hasCrashingPart(const std::string& promptParts);

}
