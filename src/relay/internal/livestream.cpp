#include "relay/livestream.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Remaining length assumed for a generation that has outlived its estimate.
    constexpr int remainingBeyondEstimate = 100;

}

LiveStream::LiveStream(asio::io_context& io, WorkId id, std::string requestId, TargetEntry target, WorkEstimate estimate)
    : m_id(id)
    , m_requestId(std::move(requestId))
    , m_target(std::move(target))
    , m_estimate(estimate)
    , m_changed(io)
{
}

int LiveStream::expectedRemainingTokens() const
{
    int remaining = m_estimate.outputTokens - m_outputTokens;
    return remaining > 0 ? remaining : remainingBeyondEstimate;
}

void LiveStream::onEvent(const std::string& eventId, int tokens)
{
    m_lastEventId = eventId;
    m_outputTokens += tokens;
    ++m_events;
}

void LiveStream::beginStop()
{
    m_stopping = true;
}

void LiveStream::stopFailed()
{
    m_stopping = false;
    m_changed.cancel();
}

void LiveStream::moveTo(StreamMove move)
{
    m_stopping = false;
    m_move = std::move(move);
    m_changed.cancel();
}

void LiveStream::interrupt()
{
    if (m_interrupt)
        m_interrupt();
}

Awaitable<std::optional<StreamMove>> LiveStream::takeMove(Clock::duration patience)
{
    if (m_stopping && !m_move) {
        m_changed.expires_after(patience);
        co_await m_changed.async_wait(asTuple);
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

std::vector<std::shared_ptr<LiveStream>> LiveStreams::at(const std::string& target) const
{
    std::vector<std::shared_ptr<LiveStream>> found;
    for (const auto& [id, stream] : m_streams) {
        if (stream->target().id == target)
            found.push_back(stream);
    }
    return found;
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
