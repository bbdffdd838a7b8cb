#include "relay/runinquiry.h"

#include "common/log.h"
#include "relay/streamend.h"

namespace guavaspan {

namespace {

    /// A report may be some hundred ms old.
    constexpr auto inquiryTimeout = Milliseconds(1500);
    constexpr auto reportTimeout = Milliseconds(400);
    constexpr auto reportInterval = Milliseconds(100);
    /// An engine whose reports cannot be read this many times is taken for gone.
    constexpr int maxUnknownReports = 2;

}

Awaitable<bool> isRunOver(RelayContext& context, const RelayRequest& request, const LiveStream& stream)
{
    auto target = stream.target();
    auto askedAt = Clock::now();
    auto latest = std::min<TimePoint>(request.deadline, askedAt + inquiryTimeout);
    auto state = RunState::Unknown;
    int reports = 0;
    int unknownReports = 0;
    auto isUndecided = [&] { return state != RunState::Over && unknownReports < maxUnknownReports && !stream.hasPendingMove(); };
    while (isUndecided() && Clock::now() < latest && !request.callerWatch.gone() && !request.cut) {
        if (reports > 0)
            co_await sleepFor(reportInterval);
        if (stream.isStopping()) {
            co_await sleepFor(reportInterval);
            continue;
        }
        // A report does not list a generation that was stopped either.
        if (stream.mayHaveStopped())
            break;
        state = runStateIn(co_await context.operations.readReport(target.endpoint, reportTimeout), target, request.caller.requestId);
        ++reports;
        if (state == RunState::Unknown)
            ++unknownReports;
    }
    bool isOver = state == RunState::Over && !stream.hasPendingMove();
    context.metrics.recordStreamEnd(std::string(toString(state)));
    logEvent(isOver ? LogLevel::Info : LogLevel::Warning, "stream_end_checked", { { "request", request.caller.requestId }, { "target", target.id }, { "run", std::string(toString(state)) }, { "reports", std::int64_t(reports) }, { "may_have_stopped", stream.mayHaveStopped() }, { "pending_move", stream.hasPendingMove() }, { "events", stream.eventCount() }, { "took_ms", std::chrono::duration_cast<Milliseconds>(Clock::now() - askedAt).count() } });
    co_return isOver;
}

}
