// The operator raises max_header_bytes, and a client sends a list of prompt parts that is longer than 64 KiB.
#include "../common/harness.h"

using namespace review;

namespace {

constexpr int raisedHeaderBytes = 131072;
constexpr int crashesOfEachMachine = 3;
constexpr int keptClients = 6;
/// A machine is in touch after contact_ms.
constexpr double contactSeconds = 3;

class Engine {
public:
    Engine(const std::string& address, Record& record)
        : m_record(record)
        , m_server(address, [this](int connection) { serve(connection); })
    {
    }

    int port() const { return m_server.port(); }

    const std::int64_t born = unixMilliseconds();

    bool hasRun(const std::string& id)
    {
        std::lock_guard lock(m_mutex);
        return m_runs.contains(id);
    }

private:
    void serve(int connection)
    {
        Reader reader(connection);
        while (auto head = reader.readHead()) {
            std::string body;
            if (reader.readBody(*head, body, false) != BodyEnd::Complete)
                break;
            if (head->target() == "/report") {
                sendAll(connection, reportAnswer(born, "ready"));
                continue;
            }
            auto id = head->header("X-Attempt-Id");
            m_record.line("engine runs " + id + ", X-Prompt-Prefix of " + std::to_string(head->header("X-Prompt-Prefix").size()) + " bytes");
            {
                std::lock_guard lock(m_mutex);
                m_runs.insert(id);
            }
            if (head->target().rfind("/draft/", 0) == 0) {
                auto events = "id: 1\ndata: of " + id + "\n\n";
                sendAll(connection, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nContent-Type: text/event-stream\r\nContent-Length: " + std::to_string(events.size()) + "\r\n\r\n" + events);
            } else {
                sleepSeconds(0.4);
                sendAll(connection, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nContent-Length: 4\r\n\r\ndone");
            }
        }
        ::close(connection);
    }

    Record& m_record;
    std::mutex m_mutex;
    std::set<std::string> m_runs;
    Server m_server;
};

std::string release(const std::string& id)
{
    return "POST /release/1 HTTP/1.1\r\nHost: shop.example\r\nX-Key: key-1\r\nX-Deadline-Ms: 1500\r\nX-Attempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
}

std::string draft(const std::string& id, std::size_t prefixBytes)
{
    std::string prefix;
    for (unsigned part = 0x10000000; prefix.size() < prefixBytes; ++part) {
        char entry[32];
        std::snprintf(entry, sizeof(entry), "%s%x:1", prefix.empty() ? "" : ",", part);
        prefix += entry;
    }
    return "POST /draft/1 HTTP/1.1\r\nHost: shop.example\r\nX-Key: key-1\r\nX-Deadline-Ms: 39000\r\nX-Model: m\r\nX-Token-Count: 6000,80\r\nX-Prompt-Prefix: " + prefix + "\r\nX-Attempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
}

}

int main(int argc, char** argv)
{
    if (argc != 3)
        giveUp("usage: PROGRAM FOLDER");
    Record record(std::string(argv[2]) + "/record.txt");
    auto address = ownLoopbackAddress();
    Store store(address);
    Engine model(address, record);
    Engine shop(address, record);
    Engine secondShop(address, record);
    json draftRoute = plainRoute("draft", "/draft/", "streaming", "modelero", 39000);
    draftRoute["goal_ms"] = 1800;
    draftRoute["gap_target_ms"] = 180;
    draftRoute["sticky"] = true;
    auto configure = [&](int version, int maxHeaderBytes) {
        auto limits = defaultLimits();
        limits["max_header_bytes"] = maxHeaderBytes;
        json tenants { { { "name", "tenant-1" }, { "api_keys", { "key-1" } }, { "priority", 1 } } };
        store.put("op/config", json { { "version", version }, { "routes", { plainRoute("release", "/release/", "unsafe", "taller-app", 800), draftRoute } }, { "services", { modelService("modelero"), plainService("taller-app") } }, { "limits", limits }, { "tenants", tenants } }.dump());
        record.line("the store acknowledges version " + std::to_string(version) + ", max_header_bytes " + std::to_string(maxHeaderBytes));
    };
    configure(7, 16384);
    keepRegistered(store, "model-1", "modelero", address + ":" + std::to_string(model.port()), 24, model.born);
    keepRegistered(store, "shop-1", "taller-app", address + ":" + std::to_string(shop.port()), 6, shop.born);
    keepRegistered(store, "shop-2", "taller-app", address + ":" + std::to_string(secondShop.port()), 6, secondShop.born);

    Deployment deployment(argv[1], address);
    std::vector<Instance*> instances;
    for (const char* name : { "frontend-1", "frontend-2" }) {
        instances.push_back(&deployment.add(name, "zone-a", store.port()));
        deployment.start(*instances.back());
    }
    for (auto* instance : instances)
        deployment.awaitReady(*instance);
    auto prefixBytes = static_cast<std::size_t>(15000);
    if (withTrouble()) {
        configure(8, raisedHeaderBytes);
        prefixBytes = 70000;
    }
    sleepSeconds(contactSeconds + 0.5);

    int lost = 0;
    int served = 0;
    std::map<std::string, int> ends;
    for (int round = 0; round < crashesOfEachMachine; ++round) {
        for (auto* instance : instances) {
            auto suffix = "-" + instance->name + "-" + std::to_string(round);
            struct Client {
                int connection = -1;
                std::unique_ptr<Reader> reader;
            };
            std::vector<Client> clients;
            auto answered = [](Client& client) {
                auto head = client.reader->readHead(3);
                std::string body;
                return head && head->status() == 200 && client.reader->readBody(*head, body, true) == BodyEnd::Complete;
            };
            for (int number = 0; number < keptClients; ++number) {
                Client client { .connection = connectTo(address, instance->callerPort) };
                client.reader = std::make_unique<Reader>(client.connection);
                sendAll(client.connection, release("first-" + std::to_string(number) + suffix));
                clients.push_back(std::move(client));
            }
            for (auto& client : clients) {
                if (!answered(client))
                    giveUp("the first requests were not served");
            }
            for (int number = 0; number < keptClients; ++number)
                sendAll(clients[number].connection, release("release-" + std::to_string(number) + suffix));
            sleepSeconds(0.1);
            auto request = draft("draft" + suffix, prefixBytes);
            record.line("client sends draft" + suffix + " to " + instance->name + ", " + std::to_string(request.size()) + " bytes");
            int connection = connectTo(address, instance->callerPort);
            sendAll(connection, request);
            auto head = Reader(connection).readHead(3);
            record.line("client gets " + (head ? std::to_string(head->status()) : std::string("no answer")) + " for draft" + suffix);
            ::close(connection);
            for (int number = 0; number < keptClients; ++number) {
                auto id = "release-" + std::to_string(number) + suffix;
                if (answered(clients[number])) {
                    ++served;
                } else if ((shop.hasRun(id) || secondShop.hasRun(id))) {
                    ++lost;
                    record.line("the connection ends without an answer to " + id + ", which the engine ran");
                }
                ::close(clients[number].connection);
            }
            int status = 0;
            bool ended = false;
            for (int wait = 0; wait < 20 && !ended; ++wait) {
                sleepSeconds(0.1);
                ended = ::waitpid(instance->process, &status, WNOHANG) == instance->process;
            }
            if (ended) {
                ++ends[instance->name];
                record.line("the process of " + instance->name + " has ended by itself, exit code " + std::to_string(WIFEXITED(status) ? WEXITSTATUS(status) : -1));
                instance->process = -1;
                sleepSeconds(0.5);
                deployment.start(*instance);
                deployment.awaitReady(*instance);
                // The machine is in touch again after contact_ms.
                sleepSeconds(contactSeconds + 0.2);
            }
        }
    }
    bool allMachinesEnd = ends.size() == instances.size() && std::all_of(ends.begin(), ends.end(), [](const auto& entry) { return entry.second >= crashesOfEachMachine; });
    record.line("served: " + std::to_string(served) + ", lost: " + std::to_string(lost));
    if (lost > 3)
        record.line("BROKEN: LOST, more than three requests of kept connections were passed on to a sound engine and never answered");
    if (allMachinesEnd)
        record.line("BROKEN: Fault, the processes of two machines have ended by themselves three times");
    if (!withTrouble() && served == 0)
        giveUp("nothing was served without the disruption");
    finish(lost > 3 || allMachinesEnd ? exitBroken : exitHeld);
}
