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
    Milliseconds orphanLimit { 10000 };
};

/// Faults of an engine that tests switch at run time.
struct EngineFaults {
    /// Streams stay open and send nothing.
    bool stalled = false;
    double slowFactor = 1;
    /// Number of events after which each stream is cut, or zero.
    int cutAfterEvents = 0;
    bool loseCacheEvents = false;
    bool refuseNew = false;
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
        int total = 0;
        int produced = 0;
        int preemptions = 0;
        bool ended = false;
        bool cancelled = false;
        int readers = 0;
        TimePoint readerLeftAt;
        std::unique_ptr<asio::steady_timer> news;
    };
    struct LoadSample {
        TimePoint time;
        EngineLoad load;
    };

    Awaitable<> handle(HttpExchange&);
    Awaitable<> startGeneration(HttpExchange&, bool chat);
    Awaitable<> handleGeneration(HttpExchange&);
    Awaitable<> relay(HttpExchange&, std::shared_ptr<Generation>, int from);
    std::string eventsFrom(const Generation&, int& offset, int& seenPreemptions) const;
    Awaitable<> stepLoop();
    void apply(const StepResult&);
    void removeOld(TimePoint);
    int drawLength(const std::string& prompt, int maxTokens);
    Reply loadReply() const;
    Reply cacheReply(std::uint64_t after) const;
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
    std::uint64_t m_cacheSequence = 0;
    std::uint64_t m_lastGeneration = 0;
    std::uint64_t m_started = 0;
    asio::steady_timer m_wake;
};

}
