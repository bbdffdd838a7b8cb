#pragma once

#include "common/random.h"
#include "soak/caller.h"
#include "soak/childprocesses.h"
#include "soak/proxy.h"
#include "soak/soakoptions.h"

#include <memory>
#include <set>

namespace guavaspan::soak {

/// The processes of one run: the store, engines and instances, and the configuration in the store.
class Deployment {
public:
    struct Instance {
        std::string name;
        std::string failureDomain;
        Endpoint callerEndpoint;
        Endpoint readinessEndpoint;
        std::uint16_t peerPort = 0;
        std::unique_ptr<Proxy> storeLink;
        int incarnation = 0;
        /// A planned stop is in progress, up to the start of the next process.
        bool stopping = false;
        /// The process has ended, and the next one has not started.
        bool restarting = false;
    };

    /// An engine process and its successors, which share one proxy and failure domain.
    struct ManagedEngine {
        std::string id;
        std::string failureDomain;
        bool generates = true;
        /// Limit that the engine states when it is told to.
        double requestLimit = 0;
        bool statesLimit = false;
        std::unique_ptr<Proxy> link;
        Endpoint advertisedEndpoint;
        /// The process was killed or is draining, and its replacement has not started.
        bool beingReplaced = false;
    };

    Deployment(asio::io_context&, const SoakOptions&, Random&, SoakRecord&);

    /// Starts all processes; false if one did not start.
    bool start();
    bool startInstance(Instance&);
    /// Starts the first or the next process of the engine, with a new id.
    bool startEngine(ManagedEngine&);

    /// True if the store acknowledged it.
    Awaitable<bool> postToStore(std::string path, std::string body);
    Awaitable<> publishConfiguration();
    Awaitable<> changeConfiguration();
    /// Writes the configuration to a store that may have lost it.
    Awaitable<> publishConfigurationAgain();
    Awaitable<bool> startEvacuation(const std::string& failureDomain);
    /// Repeats the removal of the key until the store acknowledges it.
    Awaitable<> endEvacuation(const std::string& failureDomain);
    /// Writes the evacuations in force to a store that may have lost them.
    Awaitable<> writeEvacuationsAgain();
    Awaitable<> removeEngineEntry(const std::string& id);
    /// Removes entries that a store may have brought back.
    Awaitable<> removeEngineEntriesAgain();

    InstanceEndpoint chooseEndpoint(Random&) const;
    Instance& randomInstance();
    ManagedEngine& randomEngine();

    std::vector<std::unique_ptr<Instance>>& instances() { return m_instances; }
    std::vector<std::unique_ptr<ManagedEngine>>& engines() { return m_engines; }
    ChildProcesses& processes() { return m_processes; }
    const Endpoint& storeEndpoint() const { return m_storeEndpoint; }

private:
    Endpoint allocateEndpoint();
    std::string configurationJson() const;

    asio::io_context& m_io;
    const SoakOptions& m_options;
    Random& m_random;
    SoakRecord& m_record;
    std::string m_loopbackAddress;
    std::set<std::uint16_t> m_allocatedPorts;
    ChildProcesses m_processes;
    Endpoint m_storeEndpoint;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<std::unique_ptr<ManagedEngine>> m_engines;
    std::vector<std::string> m_removedEngines;
    /// True for each failure domain whose evacuation is in force, false once it has ended.
    std::map<std::string, bool> m_evacuations;
    std::int64_t m_configurationVersion = 1;
    int m_lastPathNumber = 0;
    int m_lastEngineNumber = 0;
    std::vector<std::string> m_addedPaths;
    std::map<std::string, std::set<std::string>> m_keysByOrganisation;
};

}
