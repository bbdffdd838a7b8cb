#pragma once

#include "net/nettypes.h"
#include "scheduling/schedulingtypes.h"

#include <functional>

namespace guavaspan {

/// Called when the scheduler wants a running generation's priority raised.
using PriorityHandler = std::function<void(int priority)>;

/// Gives permission to run generations on engines.
class IPermitService {
public:
    virtual ~IPermitService() = default;

    /// Waits for a permit. `cancelled` is looked at while waiting.
    virtual Awaitable<Result<Grant>> acquire(std::string model, PermitRequest, PriorityHandler, std::function<bool()> cancelled) = 0;

    /// The owner hears at once of a displacement and of its end, else every few seconds.
    virtual void progress(const PermitId&, int produced, bool preempted) = 0;
    virtual void finish(const PermitId&, int produced, GenerationOutcome) = 0;
    virtual PermitId nextId() = 0;
};

}
