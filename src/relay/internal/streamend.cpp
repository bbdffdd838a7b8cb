#include "relay/streamend.h"

namespace guavaspan {

bool isComplete(const StreamEnd& end)
{
    if (end.hasPartialFrame || end.hasPendingMove)
        return false;
    // A body that ends at close looks the same if the engine closes it early.
    bool mayBeClosedEarly = end.isStopping || !end.isTargetUsable;
    return !end.endsAtClose || !mayBeClosedEarly;
}

}
