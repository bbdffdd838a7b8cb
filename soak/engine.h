#pragma once

#include "common/random.h"
#include "net/httpserver.h"
#include "soak/record.h"

#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <map>

namespace guavaspan::soak {

struct EngineOptions {
    std::string id;
    std::string service;
    std::string failureDomain;
    Endpoint listenEndpoint;
    /// Where others reach it, through a proxy.
    Endpoint advertisedEndpoint;
    Endpoint storeEndpoint;
    /// What it did, line by line; outlives the process.
    std::string recordPath;
    bool generates = true;
    std::uint64_t seed = 1;
};

/// An engine of the users' platform as one process: runs, moves, leaves on SIGUSR1.
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
    void recordEvent(EngineRecord::Event, const std::string& attemptId, const std::string& organisation);
    std::string reportJson() const;

    asio::io_context& m_io;
    EngineOptions m_options;
    Random m_random;
    HttpServer m_server;
    std::ofstream m_recordOutput;
    asio::signal_set m_drainSignal;
    std::int64_t m_startedAt;
    bool m_draining = false;
    std::map<std::string, std::shared_ptr<Generation>> m_generations;
    /// Generations whose memory was copied here, by handle.
    std::map<std::string, Generation> m_copies;
};

}
