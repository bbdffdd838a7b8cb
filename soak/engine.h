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
    Endpoint listen;
    /// Where others reach it, through a proxy.
    Endpoint announced;
    Endpoint store;
    /// What it did, line by line; outlives the process.
    std::string recordFile;
    bool generates = true;
    std::uint64_t seed = 1;
};

/// An engine of the users' platform as one process: runs, moves, leaves on SIGUSR1.
class Engine {
public:
    Engine(asio::io_context&, EngineOptions);
    bool start();

private:
    struct Run {
        std::string organisation;
        int made = 0;
        int total = 0;
        bool stopped = false;
    };

    Awaitable<> handle(HttpExchange&);
    Awaitable<> runPlain(HttpExchange&);
    Awaitable<> runStream(HttpExchange&);
    Awaitable<> sendEvents(HttpExchange&, std::string attempt, int from);
    Awaitable<> move(HttpExchange&);
    Awaitable<> refuse(HttpExchange&, unsigned status, bool notRun);
    Awaitable<> announceRegularly();
    Awaitable<> announce();
    Awaitable<> leaveOnSignal();
    void note(EngineRecord::Event, const std::string& attempt, const std::string& organisation);
    std::string reportJson() const;

    asio::io_context& m_io;
    EngineOptions m_options;
    Random m_random;
    HttpServer m_server;
    std::ofstream m_records;
    asio::signal_set m_leaveSignal;
    std::int64_t m_startedAt;
    bool m_leaving = false;
    std::map<std::string, std::shared_ptr<Run>> m_runs;
    /// Generations whose memory was copied here, by handle.
    std::map<std::string, Run> m_copies;
};

}
