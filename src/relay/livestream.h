#pragma once

#include "dispatch/dispatchtypes.h"
#include "relay/iwireformat.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace guavaspan {

/// Where a stopped generation goes on.
struct StreamMove {
    TargetEntry destination;
    Continuation continuation;
    /// The engine that stopped it and can go on itself if the destination cannot.
    TargetEntry source;
};

/// A generation between its engine and its caller, as its relay and a handover see it.
class LiveStream {
public:
    LiveStream(asio::io_context&, WorkId, std::string requestId, TargetEntry target, WorkEstimate);

    WorkId id() const { return m_id; }
    const std::string& requestId() const { return m_requestId; }
    const TargetEntry& target() const { return m_target; }
    const WorkEstimate& estimate() const { return m_estimate; }
    int outputTokens() const { return m_outputTokens; }
    int expectedRemainingTokens() const;
    const std::string& lastEventId() const { return m_lastEventId; }
    std::int64_t events() const { return m_eventCount; }

    void onEvent(const std::string& eventId, int tokens);
    void setTarget(TargetEntry target) { m_target = std::move(target); }

    /// The engine was asked to stop the run; its stream may end at any moment.
    void onStopRequested();
    /// The run did not stop, or goes on unseen.
    void onStopFailed();
    /// The run stopped and goes on elsewhere.
    void onMoved(StreamMove);

    bool isStopping() const { return m_stopping; }
    /// True from the moment a move is known until the relay took it.
    bool hasPendingMove() const { return m_move.has_value(); }

    /// Waits until a stop has an outcome; nothing if the run did not move.
    Awaitable<std::optional<StreamMove>> awaitMove(Clock::duration timeout);

    /// Set by the relay: ends its read of the old engine.
    void setInterruptHandler(std::function<void()> interrupt) { m_interruptHandler = std::move(interrupt); }
    void interrupt();

private:
    WorkId m_id;
    std::string m_requestId;
    TargetEntry m_target;
    WorkEstimate m_estimate;
    int m_outputTokens = 0;
    std::int64_t m_eventCount = 0;
    std::string m_lastEventId;
    bool m_stopping = false;
    std::optional<StreamMove> m_move;
    asio::steady_timer m_stopResolved;
    std::function<void()> m_interruptHandler;
};

/// The streams of this instance.
class LiveStreams {
public:
    void add(std::shared_ptr<LiveStream> stream);
    void remove(WorkId id) { m_streams.erase(id); }
    std::vector<std::shared_ptr<LiveStream>> atTarget(const std::string& target) const;
    std::shared_ptr<LiveStream> find(WorkId) const;
    /// Where streams run.
    std::set<std::string> targets() const;
    std::size_t size() const { return m_streams.size(); }

private:
    std::map<WorkId, std::shared_ptr<LiveStream>> m_streams;
};

}
