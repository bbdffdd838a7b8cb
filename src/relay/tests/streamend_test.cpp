#include "relay/streamend.h"

#include <criterion/criterion.h>

using namespace guavaspan;

/// Guards against LOST: a stream that ended whole while its stop was under way was cut.
Test(StreamEnd, explicitEndWhileStopIsUnderWay_isComplete)
{
    cr_expect(isComplete({ .isStopping = true }));
    cr_expect(isComplete({ .isStopping = true, .isTargetUsable = false }));
}

Test(StreamEnd, closeOfBodyWithoutLength_isCompleteOnlyIfNothingElseExplainsIt)
{
    cr_expect(isComplete({ .endsAtClose = true }));
    cr_expect(!isComplete({ .endsAtClose = true, .isStopping = true }), "the engine closes a stopped generation");
    cr_expect(!isComplete({ .endsAtClose = true, .isTargetUsable = false }), "the engine may have shut down");
}

Test(StreamEnd, explicitEndAtLeavingEngine_isComplete)
{
    cr_expect(isComplete({ .isTargetUsable = false }));
}

Test(StreamEnd, partialEventOrPendingMove_isIncomplete)
{
    cr_expect(!isComplete({ .hasPartialFrame = true }));
    cr_expect(!isComplete({ .hasPendingMove = true }));
    cr_expect(!isComplete({ .hasPendingMove = true, .isStopping = true }));
}
