#include "relay/leaveinquiry.h"

#include "common/log.h"

namespace guavaspan {

namespace {

    /// A report needs no slot; an engine that does not answer in this time tells nothing in time.
    constexpr auto reportTimeout = Milliseconds(600);

}

LeaveInquiry::LeaveInquiry(LeaveInquiryContext context)
    : m_context(std::move(context))
{
}

void LeaveInquiry::onTick(TimePoint now)
{
    std::set<std::string> busy;
    for (const auto& target : m_context.streams.targets()) {
        if (m_context.directory.isUsable(target))
            busy.insert(target);
    }
    for (const auto& target : m_watch.due(busy, m_context.storeView(), now))
        asio::co_spawn(m_context.io, ask(*m_context.directory.find(target)), asio::detached);
}

Awaitable<> LeaveInquiry::ask(TargetEntry target)
{
    auto report = co_await m_context.operations.readReport(target.endpoint, reportTimeout);
    // The address may belong to another target by now.
    if (!report || !report->leaving || report->startedAt != target.startedAt)
        co_return;
    if (!m_context.directory.isUsable(target.id))
        co_return;
    auto view = m_context.storeView();
    logEvent(LogLevel::Info, "target_says_it_leaves", { { "target", target.id }, { "leaves_ms", report->leavesIn.value_or(Milliseconds(-1)).count() }, { "store_view_age_ms", std::chrono::duration_cast<Milliseconds>(view.age).count() }, { "store_reachable", view.reachable } });
    m_context.link.sendToAll(ShutdownNotice { .target = target.id, .startedAt = target.startedAt });
    m_context.directory.onSaidToLeave(target.id, target.startedAt, Clock::now());
}

void LeaveInquiry::onPeerNews(const ShutdownNotice& news, TimePoint now)
{
    m_context.directory.onSaidToLeave(news.target, news.startedAt, now);
}

}
