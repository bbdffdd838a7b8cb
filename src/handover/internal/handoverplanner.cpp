#include "handover/handoverplanner.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Pause before an engine is asked again about a run that it does not know or that is busy.
    constexpr auto askAgainPause = Milliseconds(60);
    /// Failed calls after which a run is left where it is.
    constexpr int mostFailures = 4;
    /// Runs with fewer tokens to go end before a copy pays: about the time of one copy.
    constexpr int tokensNotWorthMoving = 24;

}

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

std::optional<HandoverStep> HandoverPlanner::nextStep(const std::vector<HandoverRun>& runs, const DestinationChooser& choose, TimePoint now)
{
    if (now < m_startAt)
        return std::nullopt;
    if (m_copied) {
        auto step = *m_copied;
        m_copied.reset();
        bool stillRuns = std::any_of(runs.begin(), runs.end(), [&](const HandoverRun& run) { return run.id == step.run; });
        if (stillRuns)
            return step;
    }
    return chooseRun(runs, choose, now);
}

/// The longest remaining generation goes first: it loses most and cannot end by itself in time.
std::optional<HandoverStep> HandoverPlanner::chooseRun(const std::vector<HandoverRun>& runs, const DestinationChooser& choose, TimePoint now)
{
    auto ordered = runs;
    std::stable_sort(ordered.begin(), ordered.end(), [](const HandoverRun& left, const HandoverRun& right) { return left.expectedRemainingTokens > right.expectedRemainingTokens; });
    for (const auto& run : ordered) {
        auto& attempt = m_attempts[run.id];
        if (!run.begun || attempt.over || now < attempt.notBefore || run.expectedRemainingTokens < tokensNotWorthMoving)
            continue;
        auto destination = choose(run, attempt.fullDestinations);
        if (!destination) {
            // Room may appear, also where there was none before.
            attempt.fullDestinations.clear();
            attempt.notBefore = now + askAgainPause;
            continue;
        }
        return HandoverStep { .run = run.id, .phase = HandoverPhase::Copy, .destination = *destination };
    }
    return std::nullopt;
}

void HandoverPlanner::onStepEnded(const HandoverStep& step, HandoverResult result, TimePoint now)
{
    auto& attempt = m_attempts[step.run];
    switch (result) {
    case HandoverResult::Done:
        if (step.phase == HandoverPhase::Copy)
            m_copied = HandoverStep { .run = step.run, .phase = HandoverPhase::Stop, .destination = step.destination };
        else
            attempt.over = true;
        return;
    case HandoverResult::NoSuchRun:
    case HandoverResult::Busy:
        attempt.notBefore = now + askAgainPause;
        return;
    case HandoverResult::DestinationFull:
        attempt.fullDestinations.insert(step.destination);
        return;
    case HandoverResult::Unknown:
        attempt.notBefore = now + askAgainPause;
        attempt.over = ++attempt.failures >= mostFailures;
        // Whether the run stopped is unknown; only a repeated call gives its handle.
        if (step.phase == HandoverPhase::Stop && !attempt.over)
            m_copied = step;
        return;
    }
}

}
