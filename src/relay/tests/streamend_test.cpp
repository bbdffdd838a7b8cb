#include "relay/streamend.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

const TargetEntry target { .id = "engine-1", .startedAt = 7 };

TargetReport reportWith(std::vector<std::string> runs)
{
    return { .startedAt = 7, .draining = true, .runs = std::move(runs) };
}

}

/// Guards against LOST: a stream that ended whole while its stop was under way was cut.
Test(StreamEnd, explicitEndWhileStopIsUnderWay_isComplete)
{
    cr_expect(judge({ .mayHaveStopped = true }) == StreamVerdict::Complete);
    cr_expect(judge({ .mayHaveStopped = true, .isTargetReady = false }) == StreamVerdict::Complete);
}

/// Guards against ORDER and LOST: an early close and a complete body without a length look the same.
Test(StreamEnd, closeOfBodyWithoutLength_isCompleteOnlyIfNothingElseExplainsIt)
{
    cr_expect(judge({ .endsAtClose = true }) == StreamVerdict::Complete);
    cr_expect(judge({ .endsAtClose = true, .mayHaveStopped = true }) == StreamVerdict::Ambiguous, "the engine closes a stopped generation");
    cr_expect(judge({ .endsAtClose = true, .isTargetReady = false }) == StreamVerdict::Ambiguous, "the engine may have shut down");
}

Test(StreamEnd, explicitEndAtLeavingEngine_isComplete)
{
    cr_expect(judge({ .isTargetReady = false }) == StreamVerdict::Complete);
}

Test(StreamEnd, partialEventOrPendingMove_isIncomplete)
{
    for (bool endsAtClose : { false, true }) {
        cr_expect(judge({ .hasPartialFrame = true, .endsAtClose = endsAtClose }) == StreamVerdict::Incomplete);
        cr_expect(judge({ .endsAtClose = endsAtClose, .hasPendingMove = true }) == StreamVerdict::Incomplete);
        cr_expect(judge({ .endsAtClose = endsAtClose, .hasPendingMove = true, .mayHaveStopped = true }) == StreamVerdict::Incomplete);
    }
}

Test(RunState, runIsNotListed_isOver)
{
    cr_expect(runStateIn(reportWith({}), target, "r1") == RunState::Over);
    cr_expect(runStateIn(reportWith({ "r2" }), target, "r1") == RunState::Over);
}

Test(RunState, runIsListed_isRunning)
{
    cr_expect(runStateIn(reportWith({ "r2", "r1" }), target, "r1") == RunState::Running);
}

/// Guards against ORDER: an engine that has shut down, or its successor at the address, does not confirm that a stream is complete.
Test(RunState, engineIsGoneOrAnother_isUnknown)
{
    auto ofAnother = reportWith({});
    ofAnother.startedAt = 8;
    cr_expect(runStateIn(std::nullopt, target, "r1") == RunState::Unknown);
    cr_expect(runStateIn(ofAnother, target, "r1") == RunState::Unknown);
    cr_expect(runStateIn(TargetReport { .runs = std::vector<std::string> {} }, TargetEntry { .id = "engine-1" }, "r1") == RunState::Unknown);
    cr_expect(runStateIn(TargetReport { .startedAt = 7 }, target, "r1") == RunState::Unknown, "the report lists no runs");
}
