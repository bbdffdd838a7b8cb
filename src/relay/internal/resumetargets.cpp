#include "relay/resumetargets.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// A generation that was stopped just before an evacuation began may still go on there, or it would be lost. With the time in
    /// which the evacuation reaches this instance it starts within the 5 s in which it has to take effect.
    constexpr auto resumeGrace = Milliseconds(1500);

}

std::vector<TargetEntry> resumeTargets(const StreamMove& move, const DomainEvacuations& evacuations, TimePoint now)
{
    std::vector<TargetEntry> targets { move.destination };
    if (move.source.id != move.destination.id)
        targets.push_back(move.source);
    std::erase_if(targets, [&](const TargetEntry& target) {
        auto since = evacuations.evacuatedSince(target.failureDomain);
        return since && *since + resumeGrace <= now;
    });
    std::stable_partition(targets.begin(), targets.end(), [&](const TargetEntry& target) { return !evacuations.isEvacuated(target.failureDomain); });
    return targets;
}

}
