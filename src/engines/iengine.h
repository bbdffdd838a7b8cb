#pragma once

#include "net/nettypes.h"
#include "scheduling/schedulingtypes.h"
#include "streams/streamtypes.h"

#include <memory>

namespace guavaspan {

/// A generation to start on an engine.
struct GenerationRequest {
    std::string body;
    bool chat = false;
    std::string traceparent;
};

/// Events of one generation over one connection.
class IEngineStream {
public:
    virtual ~IEngineStream() = default;

    virtual const GenerationIdentity& identity() const = 0;

    /// The next event; an error if the link broke, fell silent, or ended early.
    virtual Awaitable<Result<EngineEvent>> next(Clock::duration silenceLimit) = 0;

    /// An event that has already arrived, without waiting.
    virtual std::optional<EngineEvent> takeBuffered() = 0;

    virtual void cancelWait() = 0;
};

/// Cache changes with the sequence number of the last one.
struct CacheEvents {
    std::uint64_t lastSequence = 0;
    bool gap = false;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> removed;
};

/// A model engine.
class IEngine {
public:
    virtual ~IEngine() = default;

    virtual Awaitable<Result<std::unique_ptr<IEngineStream>>> start(GenerationRequest) = 0;
    virtual Awaitable<Result<std::unique_ptr<IEngineStream>>> resume(GenerationIdentity, int offset) = 0;
    virtual Awaitable<Result<void>> cancel(GenerationIdentity) = 0;
    virtual Awaitable<Result<void>> setPriority(GenerationIdentity, int priority) = 0;
    virtual Awaitable<Result<LoadReport>> load() = 0;
    virtual Awaitable<Result<CacheEvents>> fetchCacheEvents(std::uint64_t afterSequence) = 0;
};

}
