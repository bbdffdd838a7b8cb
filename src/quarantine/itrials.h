#pragma once

#include "net/nettypes.h"
#include "quarantine/trialledger.h"

#include <memory>

namespace guavaspan {

/// Starts trials of requests that are suspected of crashing targets.
class ITrials {
public:
    virtual ~ITrials() = default;

    /// Asks for a trial; `number` is unique in this process. A granted trial lasts until end() is called or the holder is gone.
    virtual Awaitable<TrialDecision> start(std::uint64_t number, std::string service, Trial, std::weak_ptr<const void> holder) = 0;
    virtual void end(std::uint64_t number, TrialEnd) = 0;
};

}
