#pragma once

#include "handover/handovertypes.h"
#include "net/nettypes.h"

namespace guavaspan {

/// Asks an engine to copy a running generation's memory to another engine.
struct CopyOptions {
    Endpoint source;
    std::string requestId;
    Endpoint destination;
    /// Stop the run first, so that it can go on at the destination.
    bool stop = false;
    Clock::duration timeout {};
};

struct CopyAnswer {
    HandoverResult result = HandoverResult::Unknown;
    /// Names the copy; present when the run was stopped, also if the copy failed.
    std::string handle;
    int eventsMade = 0;
    std::string detail;
};

/// Operations on generations that run at engines.
class ITargetOperations {
public:
    virtual ~ITargetOperations() = default;

    virtual Awaitable<CopyAnswer> copyRun(CopyOptions) = 0;

    /// Frees a copy that will not be used.
    virtual Awaitable<> freeCopy(Endpoint source, std::string handle) = 0;
};

}
