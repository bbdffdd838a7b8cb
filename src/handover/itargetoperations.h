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
    int eventsProduced = 0;
    std::string detail;
};

/// What an engine says of itself when it is asked.
struct TargetReport {
    std::int64_t startedAt = 0;
    bool draining = false;
    /// Time until it is gone, where it knows.
    std::optional<Milliseconds> timeToShutdown;

    friend bool operator==(const TargetReport&, const TargetReport&) = default;
};

/// Operations on generations that run at engines.
class ITargetOperations {
public:
    virtual ~ITargetOperations() = default;

    virtual Awaitable<CopyAnswer> copyGeneration(CopyOptions) = 0;

    /// Nothing if the engine does not answer, or not in a form that can be read.
    virtual Awaitable<std::optional<TargetReport>> readReport(Endpoint, Clock::duration timeout) = 0;

    /// Frees a copy that will not be used, asked at the engine that holds it.
    virtual Awaitable<> freeCopy(Endpoint holder, std::string handle) = 0;
};

}
