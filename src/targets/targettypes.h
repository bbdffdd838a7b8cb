#pragma once

#include "common/time.h"
#include "net/endpoint.h"

#include <string>

namespace guavaspan {

enum class TargetState {
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
};

/// What one target says of itself in the shared store.
struct TargetEntry {
    std::string id;
    std::string service;
    Endpoint endpoint;
    std::string failureDomain;
    int slots = 0;
    TargetState state = TargetState::Ready;
    /// Start of this life in Unix milliseconds; another value is another life.
    std::int64_t startedAt = 0;
    Milliseconds warmUpRemaining { 0 };

    friend bool operator==(const TargetEntry&, const TargetEntry&) = default;
};

}
