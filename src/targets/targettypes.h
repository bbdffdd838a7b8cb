#pragma once

#include "common/time.h"
#include "net/endpoint.h"

#include <compare>
#include <string>

namespace guavaspan {

/// In the order in which an incarnation passes through them.
enum class TargetState {
    Ready,
    /// Finishes its running requests and takes no new ones.
    Draining,
};

/// Entry that a target writes about itself to the shared store.
struct TargetEntry {
    std::string id;
    std::string service;
    Endpoint endpoint;
    std::string failureDomain;
    int slots = 0;
    TargetState state = TargetState::Ready;
    /// Start of this incarnation in Unix milliseconds; a different value means that the target restarted.
    std::int64_t startedAt = 0;
    Milliseconds warmUpRemaining { 0 };
    /// Number of the entry among those of its incarnation.
    std::int64_t sequence = 0;

    friend bool operator==(const TargetEntry&, const TargetEntry&) = default;
};

/// Compares two entries of one target by the order in which it wrote them.
std::strong_ordering compareWriteOrder(const TargetEntry&, const TargetEntry&);

}
