#include "relay/livestream.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Remaining length assumed for a generation that has exceeded its estimate.
    constexpr int remainingTokensBeyondEstimate = 100;

}

LiveStream::LiveStream(asio::io_context& io, WorkId id, std::string requestId, TargetEntry target, WorkEstimate estimate)
    : m_id(id)
    , m_requestId(std::move(requestId))
    , m_target(std::move(target))
    , m_estimate(estimate)
    , m_stopResolved(io)
{
}

int LiveStream::expectedRemainingTokens() const
{
    int remaining = m_estimate.outputTokens - m_outputTokens;
    return remaining > 0 ? remaining : remainingTokensBeyondEstimate;
}

void LiveStream::onEvent(const std::string& eventId, int tokens)
{
    m_lastEventId = eventId;
    m_outputTokens += tokens;
    ++m_eventCount;
}

void LiveStream::onStopRequested()
{
    m_stopping = true;
    ++m_unresolvedStops;
}

void LiveStream::onStopRejected()
{
    --m_unresolvedStops;
    onStopFailed();
}

void LiveStream::onStopFailed()
{
    m_stopping = false;
    m_stopResolved.cancel();
}

void LiveStream::onMoved(StreamMove move)
{
    m_stopping = false;
    m_unresolvedStops = 0;
    m_move = std::move(move);
    m_stopResolved.cancel();
}

void LiveStream::interrupt()
{
    if (m_interruptHandler)
        m_interruptHandler();
}

Awaitable<std::optional<StreamMove>> LiveStream::awaitMove(Clock::duration timeout)
{
    if (m_stopping && !m_move) {
        m_stopResolved.expires_after(timeout);
        co_await m_stopResolved.async_wait(asTuple);
    }
    auto move = std::move(m_move);
    m_move.reset();
    m_stopping = false;
    co_return move;
}

void LiveStreams::add(std::shared_ptr<LiveStream> stream)
{
    auto id = stream->id();
    m_streams.insert_or_assign(id, std::move(stream));
}

std::vector<std::shared_ptr<LiveStream>> LiveStreams::atTarget(const std::string& target) const
{
    std::vector<std::shared_ptr<LiveStream>> streams;
    for (const auto& [id, stream] : m_streams) {
        if (stream->target().id == target)
            streams.push_back(stream);
    }
    return streams;
}

std::set<std::string> LiveStreams::targets() const
{
    std::set<std::string> targets;
    for (const auto& [id, stream] : m_streams)
        targets.insert(stream->target().id);
    return targets;
}

std::shared_ptr<LiveStream> LiveStreams::find(WorkId id) const
{
    auto found = m_streams.find(id);
    return found == m_streams.end() ? nullptr : found->second;
}

}
