#pragma once

#include "dispatch/dispatchtypes.h"
#include "relay/iwireformat.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace guavaspan {

/// Where and how to resume a generation that was stopped for a move.
struct StreamMove {
    TargetEntry destination;
    Continuation continuation;
    /// The engine that stopped the generation; it can resume it if the destination cannot.
    TargetEntry source;
};

/// State of a running generation, shared by its relay and a handover.
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
    std::int64_t eventCount() const { return m_eventCount; }

    void onEvent(const std::string& eventId, int tokens);
    void setTarget(TargetEntry target) { m_target = std::move(target); }

    /// The engine was requested to stop the generation; its stream may end at any moment.
    void onStopRequested();
    /// The generation did not stop, or it is unknown whether it did.
    void onStopFailed();
    /// The engine did not act on the last request to stop the generation.
    void onStopRejected();
    /// The generation stopped and can be resumed with the continuation of the move.
    void onMoved(StreamMove);

    bool isStopping() const { return m_stopping; }
    /// True if the engine was requested to stop the generation and has not said whether it did.
    bool mayHaveStopped() const { return m_unresolvedStops > 0; }
    /// True from onMoved() until the relay takes the move.
    bool hasPendingMove() const { return m_move.has_value(); }

    /// Waits until a requested stop succeeds or fails, and takes the move; empty if there is none.
    Awaitable<std::optional<StreamMove>> awaitMove(Clock::duration timeout);

    /// Set by the relay; the handler ends its read from the current engine.
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
    int m_unresolvedStops = 0;
    std::optional<StreamMove> m_move;
    asio::steady_timer m_stopResolved;
    std::function<void()> m_interruptHandler;
};

/// The streams that this instance relays.
class LiveStreams {
public:
    void add(std::shared_ptr<LiveStream> stream);
    void remove(WorkId id) { m_streams.erase(id); }
    std::vector<std::shared_ptr<LiveStream>> atTarget(const std::string& target) const;
    std::shared_ptr<LiveStream> find(WorkId) const;
    /// Ids of the targets at which streams run.
    std::set<std::string> targets() const;
    std::size_t size() const { return m_streams.size(); }

private:
    std::map<WorkId, std::shared_ptr<LiveStream>> m_streams;
};

}
