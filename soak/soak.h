#pragma once

#include "common/random.h"
#include "soak/caller.h"
#include "soak/checks.h"
#include "soak/childprocesses.h"
#include "soak/proxy.h"

#include <memory>
#include <set>

namespace guavaspan::soak {

struct SoakOptions {
    std::uint64_t seed = 1;
    double seconds = 20;
    int instances = 4;
    int engines = 4;
    int callers = 24;
    /// "all", "planned" or "none".
    std::string faults = "all";
    /// The program under test, and this one.
    std::string program;
    std::string self;
    std::string folder;
};

/// Starts the entry service's real processes, harms them from outside while
/// callers use them, and holds what was seen against the promises.
class Soak {
public:
    explicit Soak(SoakOptions);
    ~Soak();
    Soak(const Soak&) = delete;
    Soak& operator=(const Soak&) = delete;

    /// Gives the violations found.
    std::vector<Violation> run();

    const SoakRecord& record() const { return m_record; }
    const std::map<std::string, int>& faultCounts() const { return m_faultCounts; }

private:
    struct Instance;
    struct EngineSlot;

    Endpoint freeEndpoint();
    bool startAll();
    bool startInstance(Instance&);
    bool startEngine(EngineSlot&);
    void writeConfiguration();
    Awaitable<> control(std::string path, std::string body);
    Awaitable<> publishConfiguration();
    Awaitable<> wholeRun();
    Awaitable<> readBills();
    Awaitable<> supervise();
    Awaitable<> strikeRepeatedly();
    void strike();
    void strikePlanned();
    void strikeUnplanned();
    Awaitable<> stopInstance(Instance&);
    Awaitable<> pauseProcess(std::string name, std::string subject);
    Awaitable<> harmLink(Proxy&, std::string subject);
    Awaitable<> harmStore(std::string fault);
    Awaitable<> killEngine(EngineSlot&);
    Awaitable<> leaveEngine(EngineSlot&);
    Awaitable<> replaceEngine(EngineSlot&);
    Awaitable<> changeConfiguration();
    void disturb(const std::string& subject, SoakTime from, SoakTime to, bool planned = false);
    Instance& pickInstance();
    Milliseconds between(int low, int high);
    Wish wish(Random&) const;
    Entrance entrance(Random&) const;
    std::string configurationJson() const;

    SoakOptions m_options;
    asio::io_context m_io { 1 };
    Random m_random;
    std::string m_address;
    std::set<std::uint16_t> m_givenPorts;
    Processes m_processes;
    SoakRecord m_record;
    Endpoint m_store;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<std::unique_ptr<EngineSlot>> m_engines;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::map<std::string, int> m_faultCounts;
    std::int64_t m_version = 1;
    int m_lastPath = 0;
    int m_lastEngine = 0;
    std::vector<std::string> m_paths;
    std::map<std::string, std::set<std::string>> m_keys;
    bool m_striking = true;
    bool m_going = true;
    bool m_calling = true;
};

}
