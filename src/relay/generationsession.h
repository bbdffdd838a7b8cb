#pragma once

#include "relay/eventframeparser.h"
#include "relay/eventsequence.h"
#include "relay/relaycontext.h"

namespace guavaspan {

/// State of one request across all engines that it is sent to.
struct GenerationSession {
    RelayRequest& request;
    SendGate gate;
    RelayResult result;
    WorkId id = 0;
    std::shared_ptr<LiveStream> stream;
    std::unique_ptr<TargetConnection> connection;
    EventFrameParser frames;
    bool headerSent = false;
    bool mayHaveRun = false;
    /// Time until the deadline, as stated to the current engine.
    Milliseconds timeLeft { 0 };
    /// The current engine sent bytes that are no answer.
    bool malformed = false;
    /// When the current engine received the request.
    TimePoint sentAt;
    /// When the current engine last sent a part of its answer; at least sentAt.
    TimePoint lastHeardAt;
    TimePoint lastEventAt;
    /// Events and time for the engine's pace that are not recorded yet.
    int pacedEvents = 0;
    Clock::duration pacedTime {};
    bool pacedBesidePrompts = false;
    /// Absent if the time to the next event says nothing about the engine: before its first event, and after a slow write to the caller.
    std::optional<TimePoint> pacedSince;
    /// The engine processes the prompt first.
    bool awaitsPrompt = false;
    /// Requests at the engine when it was chosen.
    int requestsBeside = 0;
    /// Tokens of events that were written to the caller.
    int deliveredTokens = 0;
    /// What is charged of the request so far.
    Usage charged;
    EventSequence events;
    TargetResponseHead responseHead;
    /// Retry delay suggested by the placement that refused the request.
    Clock::duration retryAfter {};
    /// Set if the request is refused for another reason than missing capacity.
    std::optional<SendRefusal> refusal;
};

}
