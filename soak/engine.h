#pragma once

#include "common/random.h"
#include "net/httpserver.h"
#include "soak/record.h"

#include <boost/asio/signal_set.hpp>
#include <deque>
#include <fstream>
#include <map>

namespace guavaspan::soak {

struct EngineOptions {
    std::string id;
    std::string service;
    std::string failureDomain;
    Endpoint listenEndpoint;
    /// Address of the proxy in front of the engine, published in the store.
    Endpoint advertisedEndpoint;
    Endpoint storeEndpoint;
    /// File that the engine's records are appended to; read after the process has ended.
    std::string recordPath;
    /// Answers with event streams instead of plain responses.
    bool generates = true;
    /// Requests per second that the engine states as its limit after SIGUSR2, until the next SIGUSR2.
    double requestLimit = 0;
    /// Rejects plain requests beyond its room, and ends if it rejects too many.
    bool brittle = false;
    std::uint64_t seed = 1;
};

/// Test engine that implements the platform's protocol: executes requests, moves generations to other engines and drains on SIGUSR1.
class Engine {
public:
    Engine(asio::io_context&, EngineOptions);
    bool start();

private:
    struct Generation {
        std::string organisation;
        int producedEvents = 0;
        int totalEvents = 0;
        bool stopped = false;
    };

    Awaitable<> handle(HttpExchange&);
    Awaitable<> runPlainRequest(HttpExchange&);
    Awaitable<> runStream(HttpExchange&);
    Awaitable<> sendEvents(HttpExchange&, std::string attemptId, int lastEventId);
    Awaitable<> handleMove(HttpExchange&);
    Awaitable<> sendEmptyReply(HttpExchange&, unsigned status, bool notExecuted);
    Awaitable<> publishEntryPeriodically();
    Awaitable<> publishEntry();
    Awaitable<> drainOnSignal();
    Awaitable<> crash(const HttpExchange&, bool silently);
    Awaitable<> toggleLimitOnSignal();
    Awaitable<> toggleFailuresOnSignal();
    Awaitable<bool> failRequest(HttpExchange&);
    Awaitable<> reject(HttpExchange&);
    std::map<std::string, std::string> stateHeaders() const;
    void recordEvent(EngineRecord::Event, const HttpExchange&);
    void breakOff(HttpExchange&);
    std::string reportJson() const;

    asio::io_context& m_io;
    EngineOptions m_options;
    Random m_random;
    HttpServer m_server;
    std::ofstream m_recordOutput;
    asio::signal_set m_drainSignal;
    asio::signal_set m_limitSignal;
    asio::signal_set m_failureSignal;
    std::int64_t m_startedAt;
    std::int64_t m_entrySequence = 0;
    bool m_draining = false;
    bool m_statesLimit = false;
    /// Percentage of plain requests that fail.
    std::uint64_t m_failurePercentage = 0;
    /// Times of the rejections in the last second.
    std::deque<TimePoint> m_rejections;
    /// Crashed without closing its connections.
    bool m_silent = false;
    std::map<std::string, std::shared_ptr<Generation>> m_generations;
    std::map<std::string, HttpExchange*> m_activeExchanges;
    /// Generations whose state was copied to this engine, by handle.
    std::map<std::string, Generation> m_copies;
};

}
