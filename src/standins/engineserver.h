#pragma once

#include "common/random.h"
#include "net/httpserver.h"
#include "standins/enginemodel.h"

#include <deque>
#include <map>
#include <memory>

namespace guavaspan::standins {

struct EngineServerOptions {
    EngineProfile profile;
    std::uint64_t seed = 1;
    Milliseconds loadReportDelay { 200 };
    /// Generations without a reader are cancelled after this time.
    Milliseconds orphanTimeout { 10000 };
};

/// Faults of an engine that tests switch at run time.
struct EngineFaults {
    /// Streams stay open and send nothing.
    bool stalled = false;
    double slowFactor = 1;
    /// Number of events after which each stream is cut, or zero.
    int cutAfterEvents = 0;
    bool loseCacheEvents = false;
    bool rejectNewGenerations = false;
};

/// A model engine behind the OpenAI-compatible interface with resume and cancel.
class EngineServer {
public:
    EngineServer(asio::io_context&, EngineServerOptions);
    Result<Endpoint> listen(const Endpoint&);

private:
    struct Generation {
        std::uint64_t id = 0;
        bool chat = false;
        int promptTokens = 0;
        int totalTokens = 0;
        int producedTokens = 0;
        int preemptions = 0;
        bool ended = false;
        bool cancelled = false;
        int readers = 0;
        TimePoint lastReaderLeftAt;
        std::unique_ptr<asio::steady_timer> updated;
    };
    struct LoadSample {
        TimePoint time;
        EngineLoad load;
    };

    Awaitable<> handle(HttpExchange&);
    Awaitable<> startGeneration(HttpExchange&, bool chat);
    Awaitable<> handleGeneration(HttpExchange&);
    Awaitable<> streamEvents(HttpExchange&, std::shared_ptr<Generation>, int firstOffset);
    std::string formatEvents(const Generation&, int& offset, int& reportedPreemptions) const;
    Awaitable<> runStepLoop();
    void applyStep(const StepResult&);
    void removeExpired(TimePoint);
    int sampleOutputLength(const std::string& prompt, int maxTokens);
    Reply loadReply() const;
    Reply cacheEventsReply(std::uint64_t after) const;
    Reply setFaults(const std::string& body);

    asio::io_context& m_context;
    EngineServerOptions m_options;
    EngineFaults m_faults;
    EngineModel m_model;
    Random m_random;
    HttpServer m_server;
    std::string m_incarnation;
    std::map<std::uint64_t, std::shared_ptr<Generation>> m_generations;
    std::deque<LoadSample> m_loadHistory;
    std::deque<std::pair<std::uint64_t, CacheEvent>> m_cacheEvents;
    std::uint64_t m_lastCacheSequence = 0;
    std::uint64_t m_lastGenerationId = 0;
    std::uint64_t m_startedGenerations = 0;
    asio::steady_timer m_workSubmitted;
};

}
