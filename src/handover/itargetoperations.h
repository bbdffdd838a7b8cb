#pragma once

#include "handover/handovertypes.h"
#include "net/nettypes.h"

namespace guavaspan {

/// Parameters of a call that copies the cached attention state of a running generation to another engine.
struct CopyOptions {
    Endpoint source;
    std::string requestId;
    Endpoint destination;
    /// Stops the generation before the copy, so that it can continue at the destination.
    bool stop = false;
    Clock::duration timeout {};
};

struct CopyAnswer {
    HandoverResult result = HandoverResult::Unknown;
    /// Identifies the copy; set if the generation was stopped, even if the copy failed.
    std::string handle;
    int eventsProduced = 0;
    std::string detail;
};

/// Status that an engine reports when it is polled.
struct TargetReport {
    std::int64_t startedAt = 0;
    bool draining = false;
    /// Time until the engine shuts down, if it reports one.
    std::optional<Milliseconds> timeToShutdown;
    /// Ids of the requests whose generations run there, if it lists them. The list may be some hundred ms old.
    std::optional<std::vector<std::string>> runs;

    friend bool operator==(const TargetReport&, const TargetReport&) = default;
};

/// Calls to engines that concern running generations and the engine's shutdown.
class ITargetOperations {
public:
    virtual ~ITargetOperations() = default;

    virtual Awaitable<CopyAnswer> copyGeneration(CopyOptions) = 0;

    /// Returns nothing if the engine does not answer or its answer cannot be parsed.
    virtual Awaitable<std::optional<TargetReport>> readReport(Endpoint, Clock::duration timeout) = 0;

    /// Frees a copy that will not be used. `holder` is the engine that stores the copy.
    virtual Awaitable<> freeCopy(Endpoint holder, std::string handle) = 0;
};

}
