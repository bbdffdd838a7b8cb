#include "relay/streamend.h"

#include <algorithm>

namespace guavaspan {

StreamVerdict judge(const StreamEnd& end)
{
    if (end.hasPartialFrame || end.hasPendingMove)
        return StreamVerdict::Incomplete;
    // An engine that stops a generation, or shuts down, closes its stream without the end. Without a length or chunks this looks like
    // the end of a complete one.
    bool mayBeClosedEarly = end.mayHaveStopped || !end.isTargetReady;
    return end.endsAtClose && mayBeClosedEarly ? StreamVerdict::Ambiguous : StreamVerdict::Complete;
}

std::string_view toString(RunState state)
{
    switch (state) {
    case RunState::Over:
        return "over";
    case RunState::Running:
        return "running";
    case RunState::Unknown:
        return "unknown";
    }
    return "unknown";
}

RunState runStateIn(const std::optional<TargetReport>& report, const TargetEntry& target, const std::string& requestId)
{
    // Without a start time an engine cannot be told from its successor at the address.
    bool sameIncarnation = report && report->startedAt != 0 && report->startedAt == target.startedAt;
    if (!sameIncarnation || !report->runs)
        return RunState::Unknown;
    bool listed = std::find(report->runs->begin(), report->runs->end(), requestId) != report->runs->end();
    return listed ? RunState::Running : RunState::Over;
}

}
