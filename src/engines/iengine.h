#pragma once

#include "net/nettypes.h"
#include "scheduling/schedulingtypes.h"
#include "streams/streamtypes.h"

#include <memory>

namespace guavaspan {

/// HTTP body and trace context of a generation to start; `chat` selects the chat API.
struct GenerationRequest {
    std::string body;
    bool chat = false;
    std::string traceparent;
};

/// Stream of the events of one generation over one connection.
class IEngineStream {
public:
    virtual ~IEngineStream() = default;

    virtual const GenerationIdentity& identity() const = 0;

    /// Waits for the next event; returns an error if the connection broke, ended early,
    /// or delivered nothing within silenceLimit.
    virtual Awaitable<Result<EngineEvent>> next(Clock::duration silenceLimit) = 0;

    /// Returns an event that has already arrived, if any, without waiting.
    virtual std::optional<EngineEvent> takeBuffered() = 0;

    /// Makes a pending next() return.
    virtual void cancelWait() = 0;
};

/// Prefix cache blocks that an engine stored and removed, with the sequence number of the
/// last event; `gap` is set if a sequence number is missing.
struct CacheEvents {
    std::uint64_t lastSequence = 0;
    bool gap = false;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> removed;
};

/// Interface to an engine, a target that runs a model.
class IEngine {
public:
    virtual ~IEngine() = default;

    virtual Awaitable<Result<std::unique_ptr<IEngineStream>>> start(GenerationRequest) = 0;
    virtual Awaitable<Result<std::unique_ptr<IEngineStream>>> resume(GenerationIdentity, int offset) = 0;
    virtual Awaitable<Result<void>> cancel(GenerationIdentity) = 0;
    virtual Awaitable<Result<void>> setPriority(GenerationIdentity, int priority) = 0;
    virtual Awaitable<Result<LoadReport>> fetchLoad() = 0;
    virtual Awaitable<Result<CacheEvents>> fetchCacheEvents(std::uint64_t afterSequence) = 0;
};

}
