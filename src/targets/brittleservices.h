#pragma once

#include "targets/targettypes.h"

#include <map>
#include <optional>

namespace guavaspan {

/// Services whose targets state in their answers that they fail if they reject too many requests for lack of room. The instances keep
/// the rejections down without asking each other: each has few requests at such a target, and pauses after a rejection.
class BrittleServices {
public:
    /// Number of instances that send to the targets.
    void setInstances(std::size_t count) { m_instances = count; }

    /// An answer of this target arrived, which states how many rejections per second it survives, or nothing.
    void onAnswer(const TargetEntry&, std::optional<double> survivedRejections);

    bool isBrittle(const std::string& service) const { return m_survivedRejections.contains(service); }

    /// Requests that this instance may have at the target at once, if the target is brittle.
    std::optional<int> requestLimit(const TargetEntry&) const;

    /// Time for which this instance must not send to a brittle target that rejected a request.
    std::optional<Clock::duration> pauseAfterRejection(const std::string& service) const;

private:
    std::size_t m_instances = 1;
    /// By service, rejections per second that a target survives.
    std::map<std::string, double> m_survivedRejections;
};

}
