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
    /// Age of the load that /load reports.
    Milliseconds loadReportDelay { 200 };
    /// Time without a reader after which a running generation is cancelled.
    Milliseconds orphanTimeout { 10000 };
};

/// Faults that tests inject into an engine at run time through /faults.
struct EngineFaults {
    /// Streams stay open but send no events.
    bool stalled = false;
    /// Multiplier of the duration of each batching step.
    double slowFactor = 1;
    /// Number of token events after which each stream is aborted; zero disables it.
    int cutAfterEvents = 0;
    /// Drops every third cache event.
    bool loseCacheEvents = false;
    /// Answers requests for new generations with status 503.
    bool rejectNewGenerations = false;
};

/// Serves an EngineModel over the OpenAI-compatible HTTP interface, extended by resuming,
/// cancelling and reprioritising generations.
class EngineServer {
public:
    EngineServer(asio::io_context&, EngineServerOptions);
    Result<Endpoint> listen(const Endpoint&);

private:
    struct Generation {
        std::uint64_t id = 0;
        bool isChat = false;
        int promptTokens = 0;
        int totalTokens = 0;
        int producedTokens = 0;
        int preemptions = 0;
        bool ended = false;
        bool cancelled = false;
        int readers = 0;
        TimePoint lastReaderLeftAt;
        /// Cancelled to wake the streams of this generation when its state changes.
        std::unique_ptr<asio::steady_timer> stateChangeTimer;
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
    /// Cancelled to wake the step loop when a generation is submitted.
    asio::steady_timer m_workSubmitted;
};

}
