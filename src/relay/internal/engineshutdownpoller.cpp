#include "relay/engineshutdownpoller.h"

#include "common/log.h"
#include "net/eventloop.h"

namespace guavaspan {

namespace {

    /// A report needs no engine slot; an answer later than this would come too late for a move.
    constexpr auto reportTimeout = Milliseconds(600);

}

EngineShutdownPoller::EngineShutdownPoller(EngineShutdownPollerContext context)
    : m_context(std::move(context))
{
}

void EngineShutdownPoller::onTick(TimePoint now)
{
    std::set<std::string> targetsInUse;
    std::set<std::string> withoutEntry;
    for (const auto& target : m_context.streams.targets()) {
        // Generations of an evacuated target have to move as well when it shuts down.
        if (!m_context.directory.isReady(target))
            continue;
        targetsInUse.insert(target);
        if (m_context.directory.isEntryMissing(target))
            withoutEntry.insert(target);
    }
    for (const auto& target : m_pollSchedule.due(targetsInUse, withoutEntry, m_context.storeView(), now))
        asio::co_spawn(m_context.io, poll(*m_context.directory.find(target)), reportFailedHandler);
}

Awaitable<> EngineShutdownPoller::poll(TargetEntry target)
{
    auto report = co_await m_context.operations.readReport(target.endpoint, reportTimeout);
    // Another target may use the address now.
    if (!report || !report->draining || report->startedAt != target.startedAt)
        co_return;
    announce(target, "report", report->timeToShutdown);
}

void EngineShutdownPoller::onDrainingAnswer(const TargetEntry& target)
{
    announce(target, "answer", std::nullopt);
}

void EngineShutdownPoller::announce(const TargetEntry& target, const std::string& source, std::optional<Milliseconds> timeToShutdown)
{
    if (m_context.directory.isDrainingReported(target.id, target.startedAt))
        return;
    if (!m_context.directory.isIncarnationReady(target)) {
        // A write of the entry that the store executes late may make the target ready again.
        m_context.directory.onDrainingReported(target.id, target.startedAt, Clock::now(), timeToShutdown);
        return;
    }
    auto view = m_context.storeView();
    logEvent(LogLevel::Info, "target_says_it_leaves", { { "target", target.id }, { "source", source }, { "leaves_ms", timeToShutdown.value_or(Milliseconds(-1)).count() }, { "store_view_age_ms", std::chrono::duration_cast<Milliseconds>(view.age).count() }, { "store_reachable", view.reachable } });
    m_context.link.broadcast(ShutdownNotice { .target = target.id, .startedAt = target.startedAt, .timeToShutdown = timeToShutdown });
    m_context.directory.onDrainingReported(target.id, target.startedAt, Clock::now(), timeToShutdown);
}

void EngineShutdownPoller::onPeerNotice(const ShutdownNotice& notice, TimePoint now)
{
    m_context.directory.onDrainingReported(notice.target, notice.startedAt, now, notice.timeToShutdown);
}

}
