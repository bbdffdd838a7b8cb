#include "handover/handovertypes.h"

namespace guavaspan {

std::string_view toString(HandoverPhase phase)
{
    return phase == HandoverPhase::Copy ? "copy" : "stop";
}

std::string_view toString(HandoverResult result)
{
    switch (result) {
    case HandoverResult::Done:
        return "done";
    case HandoverResult::NoSuchRun:
        return "no_such_run";
    case HandoverResult::Busy:
        return "busy";
    case HandoverResult::DestinationFull:
        return "destination_full";
    case HandoverResult::Unknown:
        return "unknown";
    }
    return "unknown";
}

}
