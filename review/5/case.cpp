// A request whose transfer coding isn't "chunked" holds another request in its body.
#include "../common/harness.h"

using namespace review;

namespace {

constexpr int attempts = 5;

/// A plain engine that keeps connections and notes what it runs.
class Engine {
public:
    Engine(const std::string& address, Record& record)
        : m_record(record)
        , m_server(address, [this](int connection) { serve(connection); })
    {
    }

    int port() const { return m_server.port(); }

    std::map<std::string, std::size_t> runs()
    {
        std::lock_guard lock(m_mutex);
        return m_bodyBytesById;
    }

private:
    void serve(int connection)
    {
        Reader reader(connection);
        while (auto head = reader.readHead()) {
            std::string body;
            if (reader.readBody(*head, body, false) != BodyEnd::Complete)
                break;
            auto id = head->header("X-Attempt-Id");
            m_record.line("engine runs " + id + ", " + head->firstLine + ", tenant " + head->header("X-Tenant") + ", body of " + std::to_string(body.size()) + " bytes");
            {
                std::lock_guard lock(m_mutex);
                m_bodyBytesById[id] = body.size();
            }
            sendAll(connection, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nContent-Length: 4\r\n\r\ndone");
        }
        ::close(connection);
    }

    Record& m_record;
    std::mutex m_mutex;
    std::map<std::string, std::size_t> m_bodyBytesById;
    Server m_server;
};

std::string headOf(const std::string& path, const std::string& id)
{
    return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Key: key-1\r\nX-Deadline-Ms: 1500\r\nX-Attempt-Id: " + id + "\r\n";
}

std::string chunkOf(const std::string& text)
{
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

}

int main(int argc, char** argv)
{
    if (argc != 3)
        giveUp("usage: PROGRAM FOLDER");
    Record record(std::string(argv[2]) + "/record.txt");
    auto address = ownLoopbackAddress();
    Store store(address);
    Engine engine(address, record);
    json tenants { { { "name", "tenant-1" }, { "api_keys", { "key-1" } }, { "priority", 1 } } };
    store.put("op/config", json { { "version", 7 }, { "routes", { plainRoute("release", "/release/", "unsafe", "taller-app", 800) } }, { "services", { plainService("taller-app") } }, { "limits", defaultLimits() }, { "tenants", tenants } }.dump());
    keepRegistered(store, "shop-1", "taller-app", address + ":" + std::to_string(engine.port()), 6);

    Deployment deployment(argv[1], address);
    auto& instance = deployment.add("frontend-1", "zone-a", store.port());
    deployment.start(instance);
    deployment.awaitReady(instance);
    sleepSeconds(0.5);

    int broken = 0;
    int outerRuns = 0;
    for (int number = 0; number < attempts; ++number) {
        auto outerId = "outer-" + std::to_string(number);
        auto innerId = "inner-" + std::to_string(number);
        // The client sends one request; all that follows its head is the body.
        auto body = headOf("/release/inner", innerId) + "Content-Length: 0\r\n\r\n";
        auto coded = withTrouble() ? "Transfer-Encoding: gzip\r\n\r\n" + body : "Transfer-Encoding: chunked\r\n\r\n" + chunkOf(body) + "0\r\n\r\n";
        record.line("client sends " + outerId + ", transfer coding " + (withTrouble() ? "gzip" : "chunked") + ", body of " + std::to_string(body.size()) + " bytes that reads like a request with the id " + innerId);
        int connection = connectTo(address, instance.callerPort);
        sendAll(connection, headOf("/release/outer", outerId) + coded);
        Reader reader(connection);
        while (auto head = reader.readHead(1.5)) {
            std::string answer;
            reader.readBody(*head, answer, true, 1.5);
            record.line("client gets " + std::to_string(head->status()) + (head->header("X-Response-Seal").empty() ? "" : ", " + head->header("X-Response-Seal")));
        }
        ::close(connection);
        auto runs = engine.runs();
        if (runs.contains(innerId)) {
            ++broken;
            record.line("BROKEN: UNASKED, the engine ran " + innerId + ", which was smuggled inside " + outerId);
        }
        if (runs.contains(outerId)) {
            ++outerRuns;
            if (runs[outerId] != body.size())
                record.line("BROKEN: UNASKED, the engine ran " + outerId + " with a body of " + std::to_string(runs[outerId]) + " bytes");
        }
    }
    if (!withTrouble() && outerRuns == 0)
        giveUp("nothing ran without the disruption");
    finish(broken > 0 ? exitBroken : exitHeld);
}
