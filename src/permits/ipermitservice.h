#pragma once

#include "net/nettypes.h"
#include "scheduling/schedulingtypes.h"

#include <functional>

namespace guavaspan {

/// Called when the scheduler changes the priority of a running generation.
using PriorityHandler = std::function<void(int priority)>;

/// Grants permits to run generations on engines.
class IPermitService {
public:
    virtual ~IPermitService() = default;

    /// Waits for a permit; gives up when `cancelled`, polled meanwhile, returns true.
    virtual Awaitable<Result<Grant>> acquire(std::string model, PermitRequest, PriorityHandler, std::function<bool()> cancelled) = 0;

    /// Reports progress; the owner receives the start and end of a preemption
    /// immediately and other progress with the periodic renewal.
    virtual void progress(const PermitId&, int producedTokens, bool preempted) = 0;
    virtual void finish(const PermitId&, int producedTokens, GenerationOutcome) = 0;
    virtual PermitId nextId() = 0;
};

}
